#include "goldcrestwell/platform/directory_codec.hpp"

#include "goldcrestwell/codec/json_value.hpp"
#include "goldcrestwell/platform/entry_fields.hpp"
#include "goldcrestwell/platform/names.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <string_view>

namespace goldcrestwell {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string departure_key(const node_id self) {
    return std::string{platform_names::departure_key_prefix} + to_string(self);
}

upstream_departure to_departure(const json& value) {
    const auto started = to_integer(value.at("started_ms"), static_cast<std::uint64_t>(max_wire_time.count()));
    return {.id = to_upstream_id(value.at("id")), .started = wall_time{milliseconds{started}}};
}

json to_json(const upstream_departure& departure) {
    return {{"id", departure.id}, {"started_ms", departure.started.time_since_epoch().count()}};
}

// The latest departure is the record itself, so that a process of an earlier version finds it.
std::optional<std::vector<upstream_departure>> decode_departures(const std::string_view payload) {
    const auto document = parse_json(payload);
    if (!document) {
        return std::nullopt;
    }
    try {
        std::vector<upstream_departure> departures;
        if (const auto earlier = document->find("earlier"); earlier != document->end()) {
            std::ranges::transform(*earlier, std::back_inserter(departures), to_departure);
        }
        departures.push_back(to_departure(*document));
        return departures;
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const json_value_error&) {
        return std::nullopt;
    }
}

} // namespace

directory_page decode_directory(const std::vector<operator_record>& records, const node_id self) {
    directory_page page{.departures = std::vector<upstream_departure>{}};
    const auto own_departure_key = departure_key(self);
    for (const auto& record : records) {
        if (record.key == own_departure_key) {
            page.departures = decode_departures(record.payload);
            page.skipped += page.departures ? 0 : 1;
        } else if (const auto node = parse_node_id(record.key); node && is_name(record.payload)) {
            page.nodes.push_back(*node);
        } else if (!record.key.starts_with(platform_names::departure_key_prefix)) {
            ++page.skipped;
        }
    }
    return page;
}

operator_record encode_departures(const node_id self, const std::vector<upstream_departure>& departures) {
    auto document = to_json(departures.back());
    auto& earlier = document["earlier"] = json::array();
    std::transform(departures.begin(), std::prev(departures.end()), std::back_inserter(earlier), to_json);
    return {.key = departure_key(self), .payload = document.dump()};
}

} // namespace goldcrestwell
