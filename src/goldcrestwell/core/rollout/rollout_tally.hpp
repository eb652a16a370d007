#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_TALLY_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_TALLY_HPP

#include "goldcrestwell/core/message/evidence_window.hpp"
#include "goldcrestwell/core/message/take_back_reason.hpp"

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

/** @brief Outcomes of the old and the new version of a service, by route, since a rollout was ordered. */
class rollout_tally {
public:
    explicit rollout_tally(rollout_tally_limits limits = {}) : limits_{limits} {}

    void add(const evidence_window& window, bool candidate);
    /** @return Why the new version is faulty, or nothing. */
    [[nodiscard]] std::optional<take_back_reason> fault() const;
    [[nodiscard]] std::uint32_t candidate_calls() const noexcept { return candidate_.calls; }
    [[nodiscard]] std::uint32_t candidate_failures() const noexcept { return candidate_.failures; }

private:
    struct outcome_sum {
        std::uint32_t calls{};
        std::uint32_t failures{};
        latency_histogram latencies{};

        void add(const evidence_window& window);
    };
    struct route_sums {
        outcome_sum candidate;
        outcome_sum old;
    };

    [[nodiscard]] bool fails(const outcome_sum& candidate, const outcome_sum& old) const;
    [[nodiscard]] bool slow(const route_sums& sums) const;

    rollout_tally_limits limits_;
    outcome_sum candidate_;
    outcome_sum old_;
    std::map<route_name, route_sums> routes_;
};

} // namespace goldcrestwell

#endif
