#include "goldcrestwell/platform/announcement_codec.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace goldcrestwell {

namespace {

using nlohmann::json;

} // namespace

std::optional<upstream_announcement> decode_announcement(const std::string_view id, const std::string_view body) {
    try {
        const auto document = json::parse(body);
        const auto state = document.at("state").get<std::string>();
        const auto address = parse_node_id(document.at("address").get<std::string>());
        const auto& slots = document.at("slots");
        const auto& sequence = document.at("sequence");
        if (id.empty() || !address || (state != "ready" && state != "draining") || !slots.is_number_unsigned() ||
            !sequence.is_number_unsigned()) {
            return std::nullopt;
        }
        const auto born = document.find("born");
        if (born != document.end() && !born->is_number_unsigned()) {
            return std::nullopt;
        }
        const std::chrono::milliseconds started{born == document.end() ? 0
                                                                       : born->get<std::chrono::milliseconds::rep>()};
        const std::chrono::milliseconds remaining_cold_start{
            static_cast<std::chrono::milliseconds::rep>(document.value("cold_left_ms", 0.0))};
        return upstream_announcement{.id = std::string{id},
                                     .service = {document.at("service").get<std::string>()},
                                     .version = {document.at("version").get<std::string>()},
                                     .address = *address,
                                     .slots = slots.get<std::uint32_t>(),
                                     .leaving = state == "draining",
                                     .remaining_cold_start = remaining_cold_start,
                                     .sequence = sequence.get<std::uint64_t>(),
                                     .started = wall_time{started}};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace goldcrestwell
