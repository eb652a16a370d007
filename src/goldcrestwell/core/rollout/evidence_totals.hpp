#ifndef GOLDCRESTWELL_CORE_ROLLOUT_EVIDENCE_TOTALS_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_EVIDENCE_TOTALS_HPP

#include "goldcrestwell/core/message/evidence_window.hpp"
#include "goldcrestwell/core/message/latency_histogram.hpp"

#include <cstddef>
#include <cstdint>

namespace goldcrestwell {

/** @brief Sums of the outcomes of one version. */
struct evidence_totals {
    std::uint64_t calls{};
    std::uint64_t failures{};
    latency_histogram latencies{};

    void add(const evidence_window& window) noexcept;
    void add(const evidence_totals& other) noexcept;

    /** @return Number of calls with a measured latency. */
    [[nodiscard]] std::uint64_t measured_calls() const noexcept;
    /** @return Number of calls with a latency above a bucket. */
    [[nodiscard]] std::uint64_t slower_than(std::size_t bucket) const noexcept;
    /** @return Lowest bucket above which at most 5 % of the calls lie. */
    [[nodiscard]] std::size_t slow_bucket() const noexcept;
};

} // namespace goldcrestwell

#endif
