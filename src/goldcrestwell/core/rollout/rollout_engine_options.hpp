#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_ENGINE_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_ENGINE_OPTIONS_HPP

#include "goldcrestwell/core/common/invariant_monitor.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/share.hpp"
#include "goldcrestwell/core/message/evidence_report.hpp"
#include "goldcrestwell/core/message/rollout_record.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"
#include "goldcrestwell/core/rollout/schedule_limits.hpp"
#include "goldcrestwell/core/rollout/sequential_test.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace goldcrestwell {

/** @brief Settings and hooks of the rollout engine. All hooks except `test` are required. */
struct rollout_engine_options {
    node_id self;
    std::uint64_t seed{};
    schedule_limits schedule;
    /** @brief Interval of evidence reports and of decisions. */
    std::chrono::milliseconds tick_interval{1'000};
    /** @brief Additional delay per rank before a node raises a stage in place of the coordinator. */
    std::chrono::milliseconds takeover_delay{3'000};
    /** @brief Time for which a verdict must hold, as the reports on both versions arrive up to one tick apart. */
    std::chrono::milliseconds confirmation_period{1'500};
    /** @brief Maximum delay of a timer; after a longer one the process counts as paused, as its data may be stale. */
    std::chrono::milliseconds pause_tolerance{2'000};
    /** @brief Maximum rechecks of one rollout; after them (at once if zero) the baseline's history is used. */
    std::uint8_t max_rechecks{255};
    /** @brief Fraction of the candidate's progress that the baseline versions get back during a recheck. */
    share recheck_share{500'000};
    /** @brief Time from the receipt of a recheck on a node to its end on this node: two slices of evidence. */
    std::chrono::milliseconds recheck_duration{10'000};
    /** @brief Time from a recheck that found no difference to the next recheck. */
    std::chrono::milliseconds recheck_interval{20'000};
    /** @brief Calls of the baseline that a recheck needs; with fewer calls its history is used. */
    std::uint32_t min_recheck_calls{10};
    /** @brief Fraction of the progress that the baseline versions keep from the last stage until `done`. */
    share retained_share{};
    /** @brief First and longest delay before a record is appended to the log again. */
    std::chrono::milliseconds min_append_retry_delay{1'000};
    std::chrono::milliseconds max_append_retry_delay{30'000};
    /** @brief Calls of the candidate that are needed at each stage. */
    std::uint32_t min_samples{20};
    /** @brief Consecutive failures after which the node refuses calls to a candidate that is its local upstream. */
    std::uint32_t consecutive_failure_limit{5};
    /** @brief Interval at which single calls are let through to such a candidate. */
    std::chrono::milliseconds refusal_interval{1'000};
    /** @brief Test for both failures and slow calls; the mixture test if empty. */
    sequential_test test;

    /** @brief Gossips a state to the other nodes; urgent if rolled back. */
    std::function<void(const rollout_update&)> broadcast;
    std::function<void(node_id to, const evidence_report&)> send_evidence;
    std::function<void(const rollout_record&)> append_record;
    /** @brief Returns the live nodes whose local upstream belongs to a service. */
    std::function<std::vector<node_id>(const service_name&)> service_nodes;
    /** @brief Checks whether a version has an announced live upstream. */
    std::function<bool(const service_name&, const upstream_version&)> has_upstream;
    invariant_monitor* invariants{};
};

} // namespace goldcrestwell

#endif
