#include "csv_rows.hpp"

#include <csv.h>
#include <new>

namespace papayabridge {

namespace {

// CSV_REPALL_NL reports blank lines too, so that row numbers match the text.
constexpr unsigned char parser_options =
    CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL | CSV_REPALL_NL;
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

class csv_reader
{
public:
    explicit csv_reader(const csv_handler& handler) : handler_(handler) { init_parser(); }
    ~csv_reader() { csv_free(&parser_); }
    csv_reader(const csv_reader&) = delete;
    csv_reader& operator=(const csv_reader&) = delete;

    void read(std::string_view text);

private:
    void init_parser();
    std::string_view skip_faulty_line(std::string_view text);
    void add_cell(std::string cell);
    void end_row(int terminator);
    void finish_row();

    static void on_cell(void* data, std::size_t size, void* self);
    static void on_row_end(int terminator, void* self);

    const csv_handler& handler_;
    csv_parser parser_{};
    csv_row row_{.number = 1};
    // Whether the last row ended with CR: an LF that follows does not end another row.
    bool after_cr_ = false;
};

void csv_reader::init_parser()
{
    if (csv_init(&parser_, parser_options) != 0) {
        throw std::bad_alloc();
    }
}

void csv_reader::on_cell(void* data, std::size_t size, void* self)
{
    static_cast<csv_reader*>(self)->add_cell(
        std::string(static_cast<const char*>(data), size));
}

void csv_reader::on_row_end(int terminator, void* self)
{
    static_cast<csv_reader*>(self)->end_row(terminator);
}

void csv_reader::add_cell(std::string cell)
{
    after_cr_ = false;
    row_.cells.push_back(std::move(cell));
}

void csv_reader::end_row(int terminator)
{
    bool is_lf_of_crlf = after_cr_ && terminator == CSV_LF && row_.cells.empty();
    after_cr_ = terminator == CSV_CR;
    if (!is_lf_of_crlf) {
        finish_row();
    }
}

void csv_reader::finish_row()
{
    auto next = row_.number + 1;
    if (!row_.cells.empty()) {
        handler_.on_row(std::move(row_));
    }
    row_ = csv_row{.number = next};
}

// Reports malformed quotes, drops the rest of the line and returns the text after it.
std::string_view csv_reader::skip_faulty_line(std::string_view text)
{
    handler_.on_error({.row = row_.number,
                       .cell = row_.cells.size(),
                       .accepted = "quotes only around a whole cell, doubled inside it"});
    csv_free(&parser_);
    init_parser();
    row_.cells.clear();
    auto end = text.find('\n');
    if (end == std::string_view::npos) {
        return {};
    }
    finish_row();
    after_cr_ = false;
    return text.substr(end + 1);
}

void csv_reader::read(std::string_view text)
{
    while (!text.empty()) {
        auto consumed =
            csv_parse(&parser_, text.data(), text.size(), on_cell, on_row_end, this);
        text.remove_prefix(consumed);
        if (!text.empty()) {
            text = skip_faulty_line(text);
        }
    }
    if (csv_fini(&parser_, on_cell, on_row_end, this) != 0) {
        handler_.on_error({.row = row_.number,
                           .cell = row_.cells.size(),
                           .accepted = "a closing quote"});
    }
}

} // namespace

void read_csv(std::string_view text, const csv_handler& handler)
{
    if (text.starts_with(byte_order_mark)) {
        text.remove_prefix(byte_order_mark.size());
    }
    csv_reader reader(handler);
    reader.read(text);
}

std::string quote_csv_cell(std::string_view cell)
{
    std::string quoted(csv_write(nullptr, 0, cell.data(), cell.size()), '\0');
    csv_write(quoted.data(), quoted.size(), cell.data(), cell.size());
    return quoted;
}

} // namespace papayabridge
