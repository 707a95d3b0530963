#include "metric_table.hpp"

#include <papayabridge/metrics.hpp>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <charconv>

namespace papayabridge {

namespace {

namespace bh = boost::histogram;

constexpr double shortest_seconds = 50e-6;
constexpr double longest_seconds = 100;
constexpr unsigned bin_count = 48;
constexpr double nanoseconds_per_second = 1e9;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using shared_count = bh::accumulators::count<std::uint64_t, true>;
using shared_storage = bh::dense_storage<shared_count>;
using shared_histogram = bh::histogram<std::tuple<log_axis>, shared_storage>;

std::string number_text(double value)
{
    std::array<char, 32> text{};
    auto end = std::to_chars(text.data(), text.data() + text.size(), value,
                             std::chars_format::general, 6);
    return {text.data(), end.ptr};
}

// Prometheus wants backslash, quote and line feed escaped in label values.
void append_escaped(std::string& text, const std::string& value)
{
    for (char letter : value) {
        if (letter == '\n') {
            text += "\\n";
            continue;
        }
        if (letter == '\\' || letter == '"') {
            text += '\\';
        }
        text += letter;
    }
}

void append_labels(std::string& text, const metric_labels& labels)
{
    if (labels.empty()) {
        return;
    }
    char separator = '{';
    for (const auto& [name, value] : labels) {
        text += separator;
        text += name;
        text += "=\"";
        append_escaped(text, value);
        text += '"';
        separator = ',';
    }
    text += '}';
}

void append_line(std::string& text, const std::string& name, const metric_labels& labels,
                 const std::string& value)
{
    text += name;
    append_labels(text, labels);
    text += ' ';
    text += value;
    text += '\n';
}

void append_type(std::string& text, const std::string& name, const char* type)
{
    if (const auto* row = find_metric(name); row != nullptr) {
        text += "# HELP " + name + " " + std::string(row->help) + " (" +
                std::string(row->unit) + ")\n";
    }
    text += "# TYPE " + name + " " + type + "\n";
}

} // namespace

struct latency_histogram::bins
{
    shared_histogram histogram = bh::make_histogram_with(
        shared_storage(), log_axis(bin_count, shortest_seconds, longest_seconds));
};

latency_histogram::latency_histogram() : bins_(std::make_unique<bins>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::chrono::nanoseconds latency) noexcept
{
    bins_->histogram(static_cast<double>(latency.count()) / nanoseconds_per_second);
    sum_nanoseconds_.fetch_add(latency.count(), std::memory_order_relaxed);
}

std::uint64_t latency_histogram::count() const noexcept
{
    std::uint64_t total = 0;
    for (const auto& bin : bins_->histogram) {
        total += bin.value();
    }
    return total;
}

std::chrono::nanoseconds latency_histogram::quantile(double part) const
{
    const auto& axis = bins_->histogram.axis(0);
    auto total = count();
    if (total == 0) {
        return std::chrono::nanoseconds(0);
    }
    auto wanted = part * static_cast<double>(total);
    std::uint64_t seen = 0;
    // Bin -1 holds what is under the axis, the last one what is over it.
    for (int bin = -1; bin < axis.size(); ++bin) {
        seen += bins_->histogram.at(bin).value();
        if (static_cast<double>(seen) >= wanted) {
            auto edge = axis.value(bin + 1) * nanoseconds_per_second;
            return std::chrono::nanoseconds(static_cast<std::int64_t>(edge));
        }
    }
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(longest_seconds * nanoseconds_per_second));
}

void latency_histogram::write(std::string& text, const std::string& name,
                              const metric_labels& labels) const
{
    const auto& axis = bins_->histogram.axis(0);
    auto with_edge = labels;
    with_edge.emplace_back("le", "");
    std::uint64_t seen = 0;
    for (int bin = -1; bin < axis.size(); ++bin) {
        seen += bins_->histogram.at(bin).value();
        with_edge.back().second = number_text(axis.value(bin + 1));
        append_line(text, name + "_bucket", with_edge, std::to_string(seen));
    }
    seen += bins_->histogram.at(axis.size()).value();
    with_edge.back().second = "+Inf";
    append_line(text, name + "_bucket", with_edge, std::to_string(seen));
    auto sum = static_cast<double>(sum_nanoseconds_.load(std::memory_order_relaxed));
    append_line(text, name + "_sum", labels, number_text(sum / nanoseconds_per_second));
    append_line(text, name + "_count", labels, std::to_string(seen));
}

metrics& metrics::process()
{
    static metrics registry;
    return registry;
}

namespace {

template <class Families>
auto& find_or_make(Families& families, std::string name, metric_labels labels)
{
    auto& slot = families[std::move(name)][std::move(labels)];
    if (!slot) {
        using pointer = std::remove_reference_t<decltype(slot)>;
        slot = std::make_unique<typename pointer::element_type>();
    }
    return *slot;
}

} // namespace

counter& metrics::counter_of(std::string name, metric_labels labels)
{
    std::lock_guard lock(mutex_);
    return find_or_make(counters_, std::move(name), std::move(labels));
}

gauge& metrics::gauge_of(std::string name, metric_labels labels)
{
    std::lock_guard lock(mutex_);
    return find_or_make(gauges_, std::move(name), std::move(labels));
}

latency_histogram& metrics::latency_of(std::string name, metric_labels labels)
{
    std::lock_guard lock(mutex_);
    return find_or_make(latencies_, std::move(name), std::move(labels));
}

std::string metrics::prometheus_text() const
{
    std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [name, by_labels] : counters_) {
        append_type(text, name, "counter");
        for (const auto& [labels, one] : by_labels) {
            append_line(text, name, labels, std::to_string(one->value()));
        }
    }
    for (const auto& [name, by_labels] : gauges_) {
        append_type(text, name, "gauge");
        for (const auto& [labels, one] : by_labels) {
            append_line(text, name, labels, std::to_string(one->value()));
        }
    }
    for (const auto& [name, by_labels] : latencies_) {
        append_type(text, name, "histogram");
        for (const auto& [labels, one] : by_labels) {
            one->write(text, name, labels);
        }
    }
    return text;
}

} // namespace papayabridge
