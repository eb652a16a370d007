#include "goldcrestwell/platform/announcement_codec.hpp"

#include "goldcrestwell/codec/json_value.hpp"
#include "goldcrestwell/platform/entry_fields.hpp"

#include <string>

namespace goldcrestwell {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint32_t max_slots = 1'000'000;

// All fields are required. An entry of another writer that lacks one could otherwise take the place of the upstream,
// with a start time or an id that the upstream does not have.
upstream_announcement to_announcement(const std::string_view id, const json& document) {
    const auto state = document.at("state").get<std::string>();
    const auto address = parse_node_id(document.at("address").get<std::string>());
    const auto slots = to_integer(document.at("slots"), max_slots);
    const auto born = to_integer(document.at("born"), static_cast<std::uint64_t>(max_wire_time.count()));
    if (!is_upstream_id(id) || !address || slots == 0 || (state != "ready" && state != "draining")) {
        throw json_value_error{"id, address, slots and a known state expected"};
    }
    return {.id = std::string{id},
            .service = {to_name(document.at("service"))},
            .version = {to_name(document.at("version"))},
            .data_centre = {to_name(document.at("zone"))},
            .address = *address,
            .slots = slots,
            .leaving = state == "draining",
            .remaining_cold_start = to_duration(document.at("cold_left_ms"), milliseconds{1}),
            .sequence = to_integer<std::uint64_t>(document.at("sequence")),
            .started = wall_time{milliseconds{born}}};
}

} // namespace

std::optional<upstream_announcement> decode_announcement(const std::string_view id, const std::string_view body) {
    const auto document = parse_json(body);
    if (!document) {
        return std::nullopt;
    }
    try {
        return to_announcement(id, *document);
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const json_value_error&) {
        return std::nullopt;
    }
}

} // namespace goldcrestwell
