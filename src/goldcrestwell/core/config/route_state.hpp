#ifndef GOLDCRESTWELL_CORE_CONFIG_ROUTE_STATE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_ROUTE_STATE_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/rollout_record.hpp"
#include "goldcrestwell/core/message/table_row.hpp"
#include "goldcrestwell/core/message/version_share.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief State of one route in the table; has at least one row. */
struct route_state {
    route_name route;
    /** @brief Service of all rows. */
    service_name service;
    /** @brief Rows, sorted by version. */
    std::vector<table_row> rows;
    /** @brief Shares before the rollout in progress; may name a version whose row the same edit removed. */
    std::vector<version_share> base;
    /** @brief Recorded rollout states of the current rows, sorted by version. */
    std::vector<rollout_record> rollout_records;

    [[nodiscard]] friend bool operator==(const route_state&, const route_state&) = default;
};

/** @return Row of a version, or null. */
[[nodiscard]] const table_row* find_row(const route_state& state, const upstream_version& version) noexcept;

/** @return Rollout record of a version's current row, or null. */
[[nodiscard]] const rollout_record* find_rollout_record(const route_state& state,
                                                        const upstream_version& version) noexcept;

/**
 * @brief Converts the weights of the rows of a route to shares.
 * @return One share per row in the order of the rows, with the sum `full_share`; empty if the total weight is zero.
 */
[[nodiscard]] std::vector<version_share> target_shares(const std::vector<table_row>& rows);

/**
 * @brief Checks whether a state is consistent.
 * @return True if the rows are sorted by version and belong to the route and its service, their total weight is not
 * zero, the base shares add up to the full share, and every rollout record belongs to a current row; false otherwise.
 */
[[nodiscard]] bool has_consistent_references(const route_state& state);

} // namespace goldcrestwell

#endif
