#ifndef GOLDCRESTWELL_CORE_MESSAGE_WEIGHTED_SERVICE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_WEIGHTED_SERVICE_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief A service and its part of a route's calls. */
struct weighted_service {
    service_name service;
    /** @brief Part of the sum of the weights of the route. */
    std::uint32_t weight{};

    [[nodiscard]] friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

} // namespace goldcrestwell

#endif
