#ifndef GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_DEPARTURE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_DEPARTURE_HPP

#include "goldcrestwell/core/common/time.hpp"

#include <string>

namespace goldcrestwell {

/** @brief Upstream that has announced to its node that it leaves. */
struct upstream_departure {
    std::string id;
    /** @brief Latest start of the upstream that has left; it may start again later under the same id. */
    wall_time started{};

    [[nodiscard]] friend bool operator==(const upstream_departure&, const upstream_departure&) = default;
};

} // namespace goldcrestwell

#endif
