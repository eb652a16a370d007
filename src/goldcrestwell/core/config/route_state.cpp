#include "goldcrestwell/core/config/route_state.hpp"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace goldcrestwell {

namespace {

std::uint64_t total_share(const std::vector<version_share>& shares) {
    return std::accumulate(
        shares.begin(), shares.end(), std::uint64_t{},
        [](const std::uint64_t sum, const version_share& entry) { return sum + entry.share.value(); });
}

bool belongs_to(const table_row& row, const route_state& state) {
    return row.key.route == state.route && row.values.service == state.service;
}

} // namespace

const table_row* find_row(const route_state& state, const upstream_version& version) noexcept {
    const auto found =
        std::lower_bound(state.rows.begin(), state.rows.end(), version,
                         [](const table_row& row, const upstream_version& key) { return row.key.version < key; });
    return found != state.rows.end() && found->key.version == version ? &*found : nullptr;
}

const rollout_record* find_rollout_record(const route_state& state, const upstream_version& version) noexcept {
    const auto found =
        std::find_if(state.rollout_records.begin(), state.rollout_records.end(),
                     [&version](const rollout_record& rollout) { return rollout.key.row.version == version; });
    return found != state.rollout_records.end() ? &*found : nullptr;
}

std::vector<version_share> target_shares(const std::vector<table_row>& rows) {
    const auto total =
        std::accumulate(rows.begin(), rows.end(), std::uint64_t{},
                        [](const std::uint64_t sum, const table_row& row) { return sum + row.values.weight; });
    std::vector<version_share> shares;
    if (total == 0) {
        return shares;
    }
    shares.reserve(rows.size());
    // Differences of rounded running sums add up to the full share on every node without a correction.
    std::uint64_t weight_so_far{};
    std::uint64_t share_so_far{};
    for (const auto& row : rows) {
        weight_so_far += row.values.weight;
        const auto end = weight_so_far * full_share.value() / total;
        shares.push_back(
            {.version = row.key.version, .share = share{static_cast<share::value_type>(end - share_so_far)}});
        share_so_far = end;
    }
    return shares;
}

bool has_consistent_references(const route_state& state) {
    if (state.rows.empty() || state.service.empty() || total_share(state.base) != full_share.value()) {
        return false;
    }
    const auto rows_match = std::all_of(state.rows.begin(), state.rows.end(),
                                        [&state](const table_row& row) { return belongs_to(row, state); });
    const auto rows_sorted =
        std::is_sorted(state.rows.begin(), state.rows.end(), [](const table_row& left, const table_row& right) {
            return left.key.version <= right.key.version;
        });
    const auto rollout_records_match = std::all_of(
        state.rollout_records.begin(), state.rollout_records.end(), [&state](const rollout_record& rollout) {
            const auto* row = find_row(state, rollout.key.row.version);
            return row != nullptr && rollout.key.row == row->key && rollout.key.row_version == row->row_version;
        });
    return rows_match && rows_sorted && rollout_records_match && !target_shares(state.rows).empty();
}

} // namespace goldcrestwell
