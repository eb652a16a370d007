#ifndef GOLDCRESTWELL_CORE_CONFIG_ROUTE_STATE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_ROUTE_STATE_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/rollout_record.hpp"
#include "goldcrestwell/core/message/table_row.hpp"
#include "goldcrestwell/core/message/version_share.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Everything the table holds about one route; never empty of rows. */
struct route_state {
    route_name route;
    /** @brief Service of every row. */
    service_name service;
    /** @brief Rows in the order of their versions. */
    std::vector<table_row> rows;
    /** @brief Shares before the move in progress; may name a version whose row was removed by that move. */
    std::vector<version_share> base;
    /** @brief Recorded states of the moves of the current rows, in the order of their versions. */
    std::vector<rollout_record> facts;

    [[nodiscard]] friend bool operator==(const route_state&, const route_state&) = default;
};

/** @return Row of a version, or null. */
[[nodiscard]] const table_row* find_row(const route_state& state, const upstream_version& version) noexcept;

/** @return Recorded state of the move of a version's current row, or null. */
[[nodiscard]] const rollout_record* find_fact(const route_state& state, const upstream_version& version) noexcept;

/**
 * @brief Weights of the rows, normalised over the route.
 * @return One share per row in the order of the rows; the shares sum to `full_share`, or are empty without weight.
 */
[[nodiscard]] std::vector<version_share> target_shares(const std::vector<table_row>& rows);

/** @return True if every reference inside the state has its target: one service, shares that sum up, facts of rows. */
[[nodiscard]] bool references_closed(const route_state& state);

} // namespace goldcrestwell

#endif
