#include "record.hpp"

#include <boost/endian/conversion.hpp>
#include <optional>
#include <xxhash.h>

namespace papayabridge {

namespace {

constexpr std::string_view magic = "PBR1";
constexpr std::size_t length_offset = 4;
constexpr std::size_t checksum_offset = 8;
constexpr std::size_t header_bytes = 16;

std::uint64_t checksum_of(std::string_view payload)
{
    return XXH64(payload.data(), payload.size(), payload.size());
}

// Returns the payload of the record at the start of `bytes`; nothing if the record is
// incomplete or its checksum does not match.
std::optional<std::string_view> read_record(std::string_view bytes)
{
    if (bytes.size() < header_bytes || bytes.substr(0, magic.size()) != magic) {
        return std::nullopt;
    }
    const auto* raw = reinterpret_cast<const unsigned char*>(bytes.data());
    auto length = boost::endian::load_big_u32(raw + length_offset);
    if (bytes.size() - header_bytes < length) {
        return std::nullopt;
    }
    auto payload = bytes.substr(header_bytes, length);
    if (checksum_of(payload) != boost::endian::load_big_u64(raw + checksum_offset)) {
        return std::nullopt;
    }
    return payload;
}

bool contains_record(std::string_view bytes)
{
    auto offset = bytes.find(magic, 1);
    while (offset != std::string_view::npos) {
        if (read_record(bytes.substr(offset))) {
            return true;
        }
        offset = bytes.find(magic, offset + 1);
    }
    return false;
}

} // namespace

std::string encode_record(std::string_view payload)
{
    std::string bytes(header_bytes, '\0');
    bytes.replace(0, magic.size(), magic);
    auto* raw = reinterpret_cast<unsigned char*>(bytes.data());
    boost::endian::store_big_u32(raw + length_offset,
                                 static_cast<std::uint32_t>(payload.size()));
    boost::endian::store_big_u64(raw + checksum_offset, checksum_of(payload));
    bytes += payload;
    return bytes;
}

record_list decode_records(std::string_view bytes)
{
    record_list records;
    while (records.valid_bytes < bytes.size()) {
        auto remaining = bytes.substr(records.valid_bytes);
        auto payload = read_record(remaining);
        if (!payload) {
            records.tail =
                contains_record(remaining) ? record_tail::damaged : record_tail::torn;
            break;
        }
        records.payloads.emplace_back(*payload);
        records.valid_bytes += header_bytes + payload->size();
    }
    return records;
}

} // namespace papayabridge
