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

/** @brief When a version counts as faulty. */
struct rollout_tally_limits {
    /** @brief Failures below which nothing is decided; the usual error rate of 0.4 % gives two in 500 calls. */
    std::uint32_t least_failures{4};
    /** @brief Least difference of the failure rates; weak faults fail 30 % of the calls or more. */
    double failure_excess{0.1};
    /** @brief Least difference in standard errors; four rarely come by chance in the hundred looks at one rollout. */
    double standard_errors{4.0};
    /** @brief Calls of a version on a route below which its latency says nothing. */
    std::uint32_t least_latencies{8};
    /** @brief Times the old version's median; a cold upstream is twice as slow, a faulty version four times or more. */
    double slow_factor{2.8};
};

/**
 * @brief Outcomes of the old and the new version of a service, by route, since a rollout was ordered.
 *
 * The new version is judged at each upstream by itself: one slow or failing host must not speak against the version.
 */
class rollout_tally {
public:
    using size_type = std::size_t;

    explicit rollout_tally(rollout_tally_limits limits = {}) : limits_{limits} {}

    /** @param from Node beside the upstream. */
    void add(node_id from, const evidence_window& window, bool candidate);
    /**
     * @param upstreams Live upstreams of the new version.
     * @return Why the new version is faulty at two of them, or at the only one; otherwise nothing.
     */
    [[nodiscard]] std::optional<rollback_reason> fault(size_type upstreams) const;
    [[nodiscard]] std::uint32_t candidate_calls() const noexcept { return candidate_calls_; }

private:
    struct outcome_sum {
        std::uint32_t calls{};
        std::uint32_t failures{};
        latency_histogram latencies{};

        void add(const evidence_window& window);
    };
    using route_sums = std::map<route_name, outcome_sum>;

    [[nodiscard]] std::optional<rollback_reason> fault_of(const route_sums& sums) const;
    [[nodiscard]] bool fails(const outcome_sum& candidate, const outcome_sum& old) const;
    [[nodiscard]] bool slow(const outcome_sum& candidate, const outcome_sum& old) const;

    rollout_tally_limits limits_;
    outcome_sum old_;
    route_sums old_routes_;
    std::map<node_id, route_sums> candidates_;
    std::uint32_t candidate_calls_{};
};

} // namespace goldcrestwell

#endif
