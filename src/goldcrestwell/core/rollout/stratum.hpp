#ifndef GOLDCRESTWELL_CORE_ROLLOUT_STRATUM_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_STRATUM_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Calls of the candidate and the baseline in the same period; a hit is a failed or a slow call. */
struct stratum {
    std::uint64_t candidate_calls{};
    std::uint64_t candidate_hits{};
    std::uint64_t baseline_calls{};
    std::uint64_t baseline_hits{};

    [[nodiscard]] friend bool operator==(const stratum&, const stratum&) = default;
};

} // namespace goldcrestwell

#endif
