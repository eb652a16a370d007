#include "goldcrestwell/platform/announcement_codec.hpp"

#include "goldcrestwell/codec/json_value.hpp"

#include <string>

namespace goldcrestwell {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint32_t max_slots = 1'000'000;

upstream_announcement to_announcement(const std::string_view id, const json& document) {
    const auto state = document.at("state").get<std::string>();
    const auto address = parse_node_id(document.at("address").get<std::string>());
    if (id.empty() || !address || (state != "ready" && state != "draining")) {
        throw json_value_error{"id, address and a known state expected"};
    }
    const auto born = document.find("born");
    const auto cold_left = document.find("cold_left_ms");
    return {.id = std::string{id},
            .service = {document.at("service").get<std::string>()},
            .version = {document.at("version").get<std::string>()},
            .address = *address,
            .slots = to_integer(document.at("slots"), max_slots),
            .leaving = state == "draining",
            .remaining_cold_start =
                cold_left == document.end() ? milliseconds{} : to_duration(*cold_left, milliseconds{1}),
            .sequence = to_integer<std::uint64_t>(document.at("sequence")),
            .started = wall_time{milliseconds{
                born == document.end() ? 0 : to_integer(*born, static_cast<std::uint64_t>(max_wire_time.count()))}}};
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
