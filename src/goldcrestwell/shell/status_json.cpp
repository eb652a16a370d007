#include "goldcrestwell/shell/status_json.hpp"

#include "goldcrestwell/core/node/node.hpp"
#include "goldcrestwell/shell/member_status_name.hpp"
#include "goldcrestwell/shell/position_view.hpp"

#include <nlohmann/json.hpp>

namespace goldcrestwell {

namespace {

using json = nlohmann::ordered_json;

constexpr int indentation = 2;

json members_json(const membership& members) {
    auto list = json::array();
    for (const auto& [id, record] : members.members()) {
        json entry{{"node", to_string(id)},
                   {"status", name_of(record.status)},
                   {"data_centre", record.data_centre.value},
                   {"region", record.region.value}};
        if (record.upstream) {
            entry["service"] = record.upstream->service.value;
            entry["upstream_version"] = record.upstream->version.value;
        }
        list.push_back(std::move(entry));
    }
    return list;
}

template <typename Enum, std::size_t Count>
json nonzero_json(const enum_counters<Enum, Count>& counts) {
    auto object = json::object();
    for (std::size_t index = 0; index < Count; ++index) {
        const auto value = static_cast<Enum>(index);
        if (counts[value] != 0) {
            object[std::string{to_string(value)}] = counts[value];
        }
    }
    return object;
}

json counters_json(const counters& counts) {
    return {{"calls", counts.calls},
            {"answered", counts.answered},
            {"refusals", nonzero_json(counts.refusals)},
            {"attempt_refusals", nonzero_json(counts.attempt_refusals)},
            {"retries", nonzero_json(counts.retries)},
            {"drops", nonzero_json(counts.drops)}};
}

} // namespace

std::string status_json(const node& core, const process_usage& usage) {
    const auto position = position_view::of(core.position(), core.operators() != nullptr);
    json document{{"node", to_string(core.options().self)},
                  {"data_centre", core.options().data_centre.value},
                  {"region", core.options().region.value},
                  {"ready", core.ready()},
                  {"config_position", position.number}};
    if (position.era) {
        document["config_era"] = position.era->value();
    }
    document.update(json{{"config_version", core.config_version()},
                         {"in_progress", core.in_progress()},
                         {"invariant_violations", core.invariants().violations()},
                         {"processor_ms", usage.processor_time.count() / 1000},
                         {"peak_memory_bytes", usage.peak_memory_bytes},
                         {"counters", counters_json(core.counts())},
                         {"members", members_json(core.members())}});
    return document.dump(indentation) + '\n';
}

std::string verdict_json(const edit_id& id, const std::optional<edit_verdict>& verdict) {
    json document{{"id", to_string(id)}};
    if (!verdict) {
        document["verdict"] = "unknown";
    } else if (verdict->accepted()) {
        document["verdict"] = "accepted";
        document["offset"] = verdict->offset.value();
    } else {
        document["verdict"] = "rejected";
        document["offset"] = verdict->offset.value();
        document["reason"] = to_string(verdict->reason);
        document["route"] = verdict->row.route.value;
        document["upstream_version"] = verdict->row.version.value;
    }
    return document.dump() + '\n';
}

} // namespace goldcrestwell
