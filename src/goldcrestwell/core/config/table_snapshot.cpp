#include "goldcrestwell/core/config/table_snapshot.hpp"

#include <utility>

namespace goldcrestwell {

table_snapshot::table_snapshot(const log_offset version, internal::route_tree routes, const size_type row_count)
    : version_{version}, routes_{std::move(routes)}, row_count_{row_count} {}

const route_state* table_snapshot::find(const route_name& route) const noexcept {
    return routes_.find(route);
}

const table_row* table_snapshot::find_row(const row_key& key) const noexcept {
    const auto* state = find(key.route);
    return state != nullptr ? goldcrestwell::find_row(*state, key.version) : nullptr;
}

std::optional<service_name> table_snapshot::service(const route_name& route) const {
    const auto* state = find(route);
    return state != nullptr ? std::optional{state->service} : std::nullopt;
}

std::vector<version_share> table_snapshot::target_shares(const route_name& route) const {
    const auto* state = find(route);
    return state != nullptr ? goldcrestwell::target_shares(state->rows) : std::vector<version_share>{};
}

std::vector<version_share> table_snapshot::base_shares(const route_name& route) const {
    const auto* state = find(route);
    return state != nullptr ? state->base : std::vector<version_share>{};
}

std::optional<rollout_state> table_snapshot::recorded_state(const rollout_key& key) const {
    const auto* state = find(key.row.route);
    const auto* rollout = state != nullptr ? find_rollout_record(*state, key.row.version) : nullptr;
    return rollout != nullptr && rollout->key == key ? std::optional{rollout->state} : std::nullopt;
}

void table_snapshot::for_each_route(const std::function<void(const route_state&)>& visit) const {
    routes_.for_each(visit);
}

std::vector<table_row> table_snapshot::rows() const {
    std::vector<table_row> all;
    all.reserve(row_count_);
    for_each_route([&all](const route_state& state) { all.insert(all.end(), state.rows.begin(), state.rows.end()); });
    return all;
}

std::vector<rollout_record> table_snapshot::rollout_records() const {
    std::vector<rollout_record> all;
    for_each_route([&all](const route_state& state) {
        all.insert(all.end(), state.rollout_records.begin(), state.rollout_records.end());
    });
    return all;
}

} // namespace goldcrestwell
