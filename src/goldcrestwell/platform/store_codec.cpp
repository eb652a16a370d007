#include "goldcrestwell/platform/store_codec.hpp"

#include "goldcrestwell/codec/json_value.hpp"
#include "goldcrestwell/core/common/store_offset.hpp"

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace goldcrestwell {

namespace {

using nlohmann::json;

constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr unsigned bits_per_byte = 8;
constexpr unsigned bits_per_base64_digit = 6;

template <typename Integer>
Integer read_big_endian(const std::string_view bytes) {
    Integer value{};
    for (const char byte : bytes.substr(0, sizeof(Integer))) {
        value = static_cast<Integer>((value << bits_per_byte) | static_cast<unsigned char>(byte));
    }
    return value;
}

std::string decode_base64(std::string text) {
    using namespace boost::archive::iterators;
    using decoder =
        transform_width<binary_from_base64<std::string::const_iterator>, bits_per_byte, bits_per_base64_digit>;
    const auto padding = static_cast<std::size_t>(std::ranges::count(text, '='));
    std::ranges::replace(text, '=', 'A');
    std::string bytes(decoder{text.cbegin()}, decoder{text.cend()});
    bytes.resize(bytes.size() - std::min(padding, bytes.size()));
    return bytes;
}

constexpr std::uint64_t max_record_number = std::numeric_limits<std::uint32_t>::max() - 1;

log_offset to_position(const store_era era, const std::uint64_t number) {
    return make_store_offset(era, static_cast<std::uint32_t>(number));
}

// The platform counts offsets from zero; a `log_offset` counts the records up to and including this one.
log_offset to_offset(const store_era era, const std::uint64_t number) {
    return to_position(era, number + 1);
}

bool is_base64(const std::string& text) {
    constexpr std::size_t digits_per_group = 4;
    const auto digits_end = text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/");
    const auto padding = digits_end == std::string::npos ? 0 : text.size() - digits_end;
    return text.size() % digits_per_group == 0 && padding <= 2 &&
           text.find_first_not_of('=', text.size() - padding) == std::string::npos;
}

std::optional<operator_record> decode_item(const json& item, const store_era era) {
    try {
        auto value = item.at("value").get<std::string>();
        const auto number = to_integer(item.at("offset"), max_record_number);
        if (!is_base64(value)) {
            return std::nullopt;
        }
        return operator_record{.offset = to_offset(era, number),
                               .key = item.at("key").get<std::string>(),
                               .payload = decode_base64(std::move(value))};
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const json_value_error&) {
        return std::nullopt;
    }
}

std::string key_of(const json& item) {
    const auto key = item.is_object() ? item.find("key") : item.end();
    return key != item.end() && key->is_string() ? key->get<std::string>() : std::string{};
}

newest_page to_newest_page(const json& document, const store_era era) {
    newest_page page{.end = to_position(era, to_integer<std::uint32_t>(document.at("end")))};
    const auto has_more = document.value("more", false);
    for (const auto& item : document.at("items")) {
        if (auto key = key_of(item); has_more && !key.empty()) {
            page.next_after = std::move(key);
        }
        if (auto record = decode_item(item, era)) {
            page.records.push_back(std::move(*record));
        } else {
            ++page.skipped;
        }
    }
    return page;
}

} // namespace

std::optional<newest_page> decode_newest_page(const std::string_view body, const store_era era) {
    const auto document = parse_json(body);
    if (!document) {
        return std::nullopt;
    }
    try {
        return to_newest_page(*document, era);
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const json_value_error&) {
        return std::nullopt;
    }
}

std::optional<store_era> decode_era(const std::string_view text) noexcept {
    store_era::value_type value{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{store_era{value}} : std::nullopt;
}

std::optional<record_page> decode_record_page(std::string_view body, const std::uint64_t from, const store_era era) {
    if (body.size() < 2 * offset_bytes) {
        return std::nullopt;
    }
    record_page page;
    body.remove_prefix(2 * offset_bytes);
    auto next_number = from;
    while (!body.empty()) {
        if (body.size() < length_bytes) {
            return std::nullopt;
        }
        const std::size_t length = read_big_endian<std::uint32_t>(body);
        body.remove_prefix(length_bytes);
        if (body.size() < length || next_number > max_record_number) {
            return std::nullopt;
        }
        const auto record = body.substr(0, length);
        body.remove_prefix(length);
        const auto offset = to_offset(era, next_number++);
        const std::size_t key_length = record.empty() ? 0 : static_cast<unsigned char>(record.front());
        if (length < 1 + key_length) {
            ++page.skipped;
            continue;
        }
        page.records.push_back({.offset = offset,
                                .key = std::string{record.substr(1, key_length)},
                                .payload = std::string{record.substr(1 + key_length)}});
    }
    // A page may end before the topic does, so the next read continues after the last record of the page.
    page.end = to_position(era, next_number);
    return page;
}

std::string encode_record(const std::string_view key, const std::string_view payload) {
    const auto length = static_cast<std::uint32_t>(1 + key.size() + payload.size());
    std::string bytes;
    for (unsigned shift = length_bytes * bits_per_byte; shift > 0; shift -= bits_per_byte) {
        bytes += static_cast<char>((length >> (shift - bits_per_byte)) & 0xFFU);
    }
    bytes += static_cast<char>(key.size());
    return bytes.append(key).append(payload);
}

} // namespace goldcrestwell
