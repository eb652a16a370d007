#ifndef GOLDCRESTWELL_CORE_MESSAGE_WEIGHTED_SERVICE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_WEIGHTED_SERVICE_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Service with its weight in a route. */
struct weighted_service {
    service_name service;
    /** @brief Weight relative to the sum of the route's weights. */
    std::uint32_t weight{};

    [[nodiscard]] friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

} // namespace goldcrestwell

#endif
