#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_TALLY_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_TALLY_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/evidence_window.hpp"
#include "goldcrestwell/core/message/rollback_reason.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace goldcrestwell {

/** @brief Thresholds for judging a version faulty. */
struct rollout_tally_limits {
    /** @brief Minimum number of failures; the usual error rate of 0.4 % gives two in 500 calls. */
    std::uint32_t min_failures{4};
    /** @brief Minimum difference of the failure rates; even weak faults fail 30 % of the calls or more. */
    double min_rate_difference{0.1};
    /** @brief Minimum difference in standard errors; four rarely occur by chance in the hundred checks of a rollout. */
    double min_standard_errors{4.0};
    /** @brief Minimum number of latencies of a version on a route for a comparison. */
    std::uint32_t min_latency_samples{8};
    /** @brief Maximum ratio of the medians; a cold upstream is twice as slow, a faulty version four times or more. */
    double max_latency_ratio{2.8};
};

/**
 * @brief Outcomes of the baseline and the candidate of a service, by route, since a rollout was requested.
 *
 * The candidate is judged separately at each upstream, so that one slow or failing host does not roll it back.
 */
class rollout_tally {
public:
    using size_type = std::size_t;

    explicit rollout_tally(rollout_tally_limits limits = {}) : limits_{limits} {}

    /** @param upstream_node Node on the host of the upstream. */
    void add(node_id upstream_node, const evidence_window& window, bool candidate);
    /**
     * @param upstreams Number of live upstreams of the candidate.
     * @return Reason to roll back, if the candidate is faulty at two of them or at the only one; otherwise empty.
     */
    [[nodiscard]] std::optional<rollback_reason> find_fault(size_type upstreams) const;
    [[nodiscard]] std::uint32_t candidate_calls() const noexcept { return candidate_calls_; }

private:
    struct outcome_sum {
        std::uint32_t calls{};
        std::uint32_t failures{};
        latency_histogram latencies{};

        void add(const evidence_window& window);
    };
    using route_sums = std::map<route_name, outcome_sum>;

    [[nodiscard]] std::optional<rollback_reason> find_upstream_fault(const route_sums& sums) const;
    [[nodiscard]] bool fails_more_often(const outcome_sum& candidate, const outcome_sum& baseline) const;
    [[nodiscard]] bool is_slower(const outcome_sum& candidate, const outcome_sum& baseline) const;

    rollout_tally_limits limits_;
    outcome_sum baseline_;
    route_sums baseline_routes_;
    std::map<node_id, route_sums> candidates_;
    std::uint32_t candidate_calls_{};
};

} // namespace goldcrestwell

#endif
