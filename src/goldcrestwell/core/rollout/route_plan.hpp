#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROUTE_PLAN_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROUTE_PLAN_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/table_row.hpp"
#include "goldcrestwell/core/message/version_share.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Rollouts of one route according to the table: shares before and after, and the rows in force. */
struct route_plan {
    route_name route;
    service_name service;
    /** @brief Shares before the rollout; sum to `full_share` or are empty. */
    std::vector<version_share> base;
    /** @brief Normalised weights; sum to `full_share` or are empty. */
    std::vector<version_share> target;
    /** @brief Rows of the route; a version without a row is being removed. */
    std::vector<table_row> rows;
};

} // namespace goldcrestwell

#endif
