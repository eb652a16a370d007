#ifndef GOLDCRESTWELL_CORE_ROUTING_ROUTE_ENTRY_HPP
#define GOLDCRESTWELL_CORE_ROUTING_ROUTE_ENTRY_HPP

#include "goldcrestwell/core/common/names.hpp"

namespace goldcrestwell {

/** @brief Route with the service that all its rows name. */
struct route_entry {
    route_name route;
    service_name service;

    [[nodiscard]] friend bool operator==(const route_entry&, const route_entry&) = default;
};

} // namespace goldcrestwell

#endif
