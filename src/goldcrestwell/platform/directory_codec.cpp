#include "goldcrestwell/platform/directory_codec.hpp"

#include "goldcrestwell/codec/json_value.hpp"
#include "goldcrestwell/platform/names.hpp"

#include <string>
#include <string_view>

namespace goldcrestwell {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string departure_key(const node_id self) {
    return std::string{platform_names::departure_key_prefix} + to_string(self);
}

std::optional<upstream_departure> decode_departure(const std::string_view payload) {
    const auto document = parse_json(payload);
    if (!document) {
        return std::nullopt;
    }
    try {
        const auto started = to_integer(document->at("started_ms"), static_cast<std::uint64_t>(max_wire_time.count()));
        return upstream_departure{.id = document->at("id").get<std::string>(),
                                  .started = wall_time{milliseconds{started}}};
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const json_value_error&) {
        return std::nullopt;
    }
}

} // namespace

directory_page decode_directory(const std::vector<operator_record>& records, const node_id self) {
    directory_page page;
    const auto own_departure_key = departure_key(self);
    for (const auto& record : records) {
        if (record.key == own_departure_key) {
            page.departure = decode_departure(record.payload);
            page.skipped += page.departure ? 0 : 1;
        } else if (const auto node = parse_node_id(record.key)) {
            page.nodes.push_back(*node);
        } else if (!record.key.starts_with(platform_names::departure_key_prefix)) {
            ++page.skipped;
        }
    }
    return page;
}

operator_record encode_departure(const node_id self, const upstream_departure& departure) {
    const json document{{"id", departure.id}, {"started_ms", departure.started.time_since_epoch().count()}};
    // An id in another encoding than UTF-8 is replaced where it is not valid; it then matches no announcement.
    return {.key = departure_key(self), .payload = document.dump(-1, ' ', false, json::error_handler_t::replace)};
}

} // namespace goldcrestwell
