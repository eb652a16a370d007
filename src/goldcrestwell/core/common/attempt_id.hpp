#ifndef GOLDCRESTWELL_CORE_COMMON_ATTEMPT_ID_HPP
#define GOLDCRESTWELL_CORE_COMMON_ATTEMPT_ID_HPP

#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/node_id.hpp"

#include <compare>
#include <cstdint>

namespace goldcrestwell {

/** @brief Identity of an attempt, unique across all nodes and restarts. */
struct attempt_id {
    node_id origin;
    incarnation start_incarnation;
    std::uint64_t sequence{};

    [[nodiscard]] friend constexpr auto operator<=>(const attempt_id&, const attempt_id&) noexcept = default;
};

} // namespace goldcrestwell

#endif
