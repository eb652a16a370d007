#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROW_VALUES_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROW_VALUES_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/row_limits.hpp"
#include "goldcrestwell/core/message/thin_evidence_policy.hpp"

#include <cstdint>
#include <optional>

namespace goldcrestwell {

/** @brief Values of one row that operators set. */
struct row_values {
    service_name service;
    /** @brief Weight from 0 to 1000; shares are the weights normalised over the route. */
    std::uint32_t weight{};
    /** @brief Time by which the rollout must be completed. */
    std::optional<wall_time> deadline;
    row_limits limits;
    /** @brief Whether calls of any method may be run more than once. */
    bool idempotent{};
    thin_evidence_policy on_thin_evidence{thin_evidence_policy::hold};

    [[nodiscard]] friend bool operator==(const row_values&, const row_values&) = default;
};

} // namespace goldcrestwell

#endif
