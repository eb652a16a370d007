#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROUTE_BASE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROUTE_BASE_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/version_share.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Shares of a route before the current rollout. */
struct route_base {
    route_name route;
    std::vector<version_share> shares;

    [[nodiscard]] friend bool operator==(const route_base&, const route_base&) = default;
};

} // namespace goldcrestwell

#endif
