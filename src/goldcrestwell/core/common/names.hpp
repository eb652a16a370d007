#ifndef GOLDCRESTWELL_CORE_COMMON_NAMES_HPP
#define GOLDCRESTWELL_CORE_COMMON_NAMES_HPP

#include "goldcrestwell/core/common/tagged_string.hpp"

namespace goldcrestwell {

/** @brief Path prefix that identifies a route; starts with a slash. */
using route_name = tagged_string<struct route_name_tag>;
/** @brief Name of a service with one or more upstream versions. */
using service_name = tagged_string<struct service_name_tag>;
/** @brief Version of the upstreams of a service. */
using upstream_version = tagged_string<struct upstream_version_tag>;
/** @brief Data centre of a host. */
using data_centre = tagged_string<struct data_centre_tag>;
/** @brief Group of nearby data centres. */
using region = tagged_string<struct region_tag>;

} // namespace goldcrestwell

#endif
