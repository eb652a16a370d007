#ifndef GOLDCRESTWELL_CORE_ROLLOUT_EVIDENCE_SERIES_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_EVIDENCE_SERIES_HPP

#include "goldcrestwell/core/rollout/evidence_totals.hpp"
#include "goldcrestwell/core/rollout/stratum.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief Calls of the candidate and the baseline in one time slice. */
struct evidence_slice {
    evidence_totals candidate;
    evidence_totals baseline;
};

/** @brief Time slices that a judgement uses. */
enum class evidence_scope : std::uint8_t {
    /** @brief All slices; those without calls of the baseline are compared with its history. */
    all,
    /** @brief Only slices in which both versions had calls. */
    concurrent,
};

/**
 * @brief Strata of a rollout for both criteria, failures and latency.
 *
 * Slices without calls of the baseline form one stratum, which is compared with the history of the baseline.
 */
class evidence_series {
public:
    using size_type = std::size_t;

    /** @param history Calls of the baseline up to the end of the slice. */
    void add(const evidence_slice& slice, const evidence_totals& history);

    /** @return Strata of failures, including the open slice. */
    [[nodiscard]] std::vector<stratum> failures(const evidence_slice& open, const evidence_totals& history,
                                                evidence_scope scope) const;
    /** @return Strata of calls slower than the baseline's 95th percentile, including the open slice. */
    [[nodiscard]] std::vector<stratum> slow_calls(const evidence_slice& open, const evidence_totals& history,
                                                  evidence_scope scope) const;

    /** @brief Drops the slices in which the baseline had no calls. */
    void drop_unpaired() noexcept { unpaired_ = {}; }

    [[nodiscard]] std::uint64_t candidate_calls() const noexcept { return candidate_calls_; }

private:
    std::vector<stratum> failures_;
    std::vector<stratum> slow_;
    evidence_totals unpaired_;
    std::uint64_t candidate_calls_{};
};

} // namespace goldcrestwell

#endif
