#ifndef GOLDCRESTWELL_CORE_CALL_ROUTE_VIEW_HPP
#define GOLDCRESTWELL_CORE_CALL_ROUTE_VIEW_HPP

#include "goldcrestwell/core/common/names.hpp"

namespace goldcrestwell {

/** @brief Route of a call as the dispatcher sees it. */
struct route_view {
    route_name route;
    service_name service;
    /** @brief Version shares apply to all routes of the service together instead of to each route. */
    bool shares_by_service{};

    [[nodiscard]] friend bool operator==(const route_view&, const route_view&) = default;
};

} // namespace goldcrestwell

#endif
