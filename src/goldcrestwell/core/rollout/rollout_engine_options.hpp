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

/** @brief Settings and effects of the rollout engine. Required hooks: all but `test`. */
struct rollout_engine_options {
    node_id self;
    std::uint64_t seed{};
    schedule_limits schedule;
    /** @brief Interval of evidence reports and of decisions. */
    std::chrono::milliseconds tick{1'000};
    /** @brief Extra wait of each later rank before it raises a stage that is due. */
    std::chrono::milliseconds takeover_after{3'000};
    /** @brief A verdict must hold this long: old and new version report up to one tick apart. */
    std::chrono::milliseconds confirm_after{1'500};
    /** @brief A timer this late means that the process was paused and its knowledge may be old. */
    std::chrono::milliseconds pause_tolerance{2'000};
    /** @brief Rechecks of one move; then the old version's history decides. Zero lets it decide at once. */
    std::uint8_t maximum_rechecks{255};
    /** @brief Part of the candidate's way that the old versions get back during a recheck. */
    share recheck_share{500'000};
    /** @brief Length of a recheck on each node, from its own learning: two slices of evidence. */
    std::chrono::milliseconds recheck_time{10'000};
    /** @brief Time from a recheck that found both versions alike to the next one. */
    std::chrono::milliseconds recheck_spacing{20'000};
    /** @brief Calls of the old version that a recheck needs; with fewer, its history decides. */
    std::uint32_t recheck_samples{10};
    /** @brief Part of the way kept on the old versions from the last stage to `done`. */
    share kept_share{};
    /** @brief First and longest wait before a fact is appended to the log again. */
    std::chrono::milliseconds append_retry_min{1'000};
    std::chrono::milliseconds append_retry_max{30'000};
    /** @brief Calls of the candidate needed at each stage. */
    std::uint32_t minimum_samples{20};
    /** @brief Failures in a row after which the node refuses calls to the candidate beside it. */
    std::uint32_t failures_in_a_row{5};
    /** @brief Time between calls let through to a candidate that is being refused. */
    std::chrono::milliseconds refuse_for{1'000};
    /** @brief Decides on failures and on slow calls; empty selects the mixture test. */
    sequential_test test;

    /** @brief Spreads a state; urgent when taken back. */
    std::function<void(const rollout_update&)> broadcast;
    std::function<void(node_id to, const evidence_report&)> send_evidence;
    std::function<void(const rollout_record&)> append_fact;
    /** @brief Live nodes beside upstreams of a service. */
    std::function<std::vector<node_id>(const service_name&)> service_nodes;
    /** @brief A version has an announced and live upstream. */
    std::function<bool(const service_name&, const upstream_version&)> has_upstream;
    invariant_monitor* invariants{};
};

} // namespace goldcrestwell

#endif
