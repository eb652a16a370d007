#ifndef GOLDCRESTWELL_CORE_CALL_ROUTE_VIEW_HPP
#define GOLDCRESTWELL_CORE_CALL_ROUTE_VIEW_HPP

#include "goldcrestwell/core/common/names.hpp"

namespace goldcrestwell {

/** @brief What the dispatcher needs to know about the route of a call. */
struct route_view {
    route_name route;
    service_name service;
    /** @brief Shares of versions are kept over all routes of the service together, not for each route. */
    bool shares_by_service{};

    [[nodiscard]] friend bool operator==(const route_view&, const route_view&) = default;
};

} // namespace goldcrestwell

#endif
