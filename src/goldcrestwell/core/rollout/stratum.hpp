#ifndef GOLDCRESTWELL_CORE_ROLLOUT_STRATUM_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_STRATUM_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Calls of candidate and old version in the same span of time; a hit is a failure, or a slow call. */
struct stratum {
    std::uint64_t candidate_calls{};
    std::uint64_t candidate_hits{};
    std::uint64_t baseline_calls{};
    std::uint64_t baseline_hits{};

    [[nodiscard]] friend bool operator==(const stratum&, const stratum&) = default;
};

} // namespace goldcrestwell

#endif
