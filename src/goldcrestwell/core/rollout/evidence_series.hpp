#ifndef GOLDCRESTWELL_CORE_ROLLOUT_EVIDENCE_SERIES_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_EVIDENCE_SERIES_HPP

#include "goldcrestwell/core/rollout/evidence_totals.hpp"
#include "goldcrestwell/core/rollout/stratum.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief Calls of candidate and old version in one span of time. */
struct evidence_slice {
    evidence_totals candidate;
    evidence_totals baseline;
};

/** @brief Which spans of time a judgement uses. */
enum class evidence_scope : std::uint8_t {
    /** @brief Spans without calls of the old version are compared with its history. */
    all,
    /** @brief Only spans in which both versions had calls. */
    concurrent,
};

/**
 * @brief Strata of a move for both criteria.
 *
 * Spans without calls of the old version share one stratum with the old version's history.
 */
class evidence_series {
public:
    using size_type = std::size_t;

    /** @param history The old version's calls before and in the slice. */
    void add(const evidence_slice& slice, const evidence_totals& history);

    /** @return Strata of failures, with the open slice. */
    [[nodiscard]] std::vector<stratum> failures(const evidence_slice& open, const evidence_totals& history,
                                                evidence_scope scope) const;
    /** @return Strata of calls slower than the old version's 95th percentile, with the open slice. */
    [[nodiscard]] std::vector<stratum> slow(const evidence_slice& open, const evidence_totals& history,
                                            evidence_scope scope) const;

    /** @brief Drops the spans in which the old version had no calls. */
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
