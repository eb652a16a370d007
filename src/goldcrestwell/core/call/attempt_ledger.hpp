#ifndef GOLDCRESTWELL_CORE_CALL_ATTEMPT_LEDGER_HPP
#define GOLDCRESTWELL_CORE_CALL_ATTEMPT_LEDGER_HPP

#include "goldcrestwell/core/call/attempt_archive.hpp"
#include "goldcrestwell/core/call/attempt_hash.hpp"
#include "goldcrestwell/core/call/attempt_ledger_options.hpp"
#include "goldcrestwell/core/call/nested_call_outcome.hpp"
#include "goldcrestwell/core/call/run_throttle.hpp"
#include "goldcrestwell/core/call/running_requests.hpp"
#include "goldcrestwell/core/call/work_queue.hpp"
#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/attempt_request.hpp"
#include "goldcrestwell/core/message/upstream_info.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace goldcrestwell {

/** @brief Upstream side of calls: runs each attempt at most once and stores its outcome. */
class attempt_ledger {
public:
    using size_type = std::size_t;

    explicit attempt_ledger(attempt_ledger_options options);

    /** @param upstream Local upstream; empty if there is none. */
    void set_upstream(std::optional<upstream_info> upstream, time_sample now);
    void on_request(node_id from, const attempt_request& request, time_sample now);
    /** @brief Handles a request for which this node has no memory; `request` is without its body. */
    void on_oversized_request(node_id from, const attempt_request& request, time_sample now);
    void on_query(node_id from, const attempt_query& query, time_sample now);
    void on_cancel(node_id from, const attempt_cancel& cancel, time_sample now);
    void on_upstream_result(const attempt_id& id, const upstream_result& result, time_sample now);
    /** @brief Refuses new attempts that may last beyond a time at which attempts in progress are aborted. */
    void limit_work(const steady_time end) noexcept { work_end_ = end; }
    /** @brief Refuses new attempts and finishes the accepted ones. */
    void drain(time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;
    /** @brief Returns the number of queued and running attempts. */
    [[nodiscard]] size_type in_progress() const noexcept { return active_.size(); }
    /** @brief Returns the running request that made the call with that id, or null if no running request did. */
    [[nodiscard]] const running_request* parent_of(std::string_view call_id) const {
        return running_.parent_of(call_id);
    }
    /**
     * @brief Handles the end of a call that a request made while it ran at the local upstream.
     * @param call_id Id of the call.
     * @param row Row of the request, which may have ended before the call.
     */
    void on_nested_call(std::string_view call_id, const row_key& row, nested_call_outcome outcome, time_sample now);

private:
    /** @brief Attempt that is queued or running. */
    struct entry {
        attempt_request request;
        /** @brief Version of the configuration in force when the attempt arrived. */
        std::uint64_t config_version{};
        steady_time deadline{};
        steady_time arrived{};
        steady_time started{};
        bool running{};
        bool cold{};
        bool aborted{};
        /** @brief Time at which the attempt is refused if it is still waiting. */
        steady_time queue_deadline{};
    };
    /** @brief Exponentially weighted mean and deviation of service times. */
    struct service_estimate {
        std::chrono::microseconds mean{};
        std::chrono::microseconds deviation{};
        void add(std::chrono::microseconds sample);
    };
    using entry_map = std::unordered_map<attempt_id, entry, attempt_hash>;

    [[nodiscard]] bool is_new(node_id from, const attempt_request& request, time_sample now);
    [[nodiscard]] refusal_reason check_admission(const attempt_request& request, steady_time now);
    [[nodiscard]] refusal_reason check_queue(const attempt_request& request, steady_time now) const;
    void enqueue(const attempt_request& request, steady_time now);
    void start_next(steady_time now);
    void run(const attempt_id& id, entry& item, steady_time now);
    void refuse_new(const attempt_id& id, refusal_reason reason, steady_time now);
    void refuse_queued(entry_map::iterator found, refusal_reason reason, steady_time now);
    void resend_result(const attempt_id& id, const archived_attempt& ended);
    void refuse_mismatched(steady_time now);
    void update_service_time(const entry& item, const upstream_result& result, steady_time now);
    void report(const attempt_request& request, std::uint64_t config_version, refusal_reason reason,
                std::chrono::microseconds queued, std::chrono::microseconds at_upstream) const;
    [[nodiscard]] std::uint64_t config_version() const;
    void send_result(const attempt_id& id, const call_result& result);
    void send_refusal(const attempt_id& id, refusal_reason reason, steady_time now);
    void observe(const entry& item, const upstream_result& result, bool call_failed, steady_time now);
    /** @brief Returns an estimated upper bound of the service time of a row's calls. */
    [[nodiscard]] std::chrono::microseconds service_time_upper_bound(const row_key& row) const;
    /** @brief Returns the expected service time of a row's calls. */
    [[nodiscard]] std::chrono::microseconds service_time(const row_key& row) const;
    /** @brief Returns the expected time until a new attempt gets a slot. */
    [[nodiscard]] std::chrono::microseconds expected_wait(const queue_key& key, steady_time now) const;
    [[nodiscard]] static queue_key queue_key_of(const attempt_request& request, steady_time now);
    /** @brief Returns the delay before a refused caller should retry; varies by id so that retries do not coincide. */
    [[nodiscard]] std::chrono::milliseconds retry_after(const attempt_id& id, steady_time now) const;
    [[nodiscard]] refusal_reason check_objective(const attempt_request& request, steady_time now) const;
    [[nodiscard]] std::uint32_t capacity() const;
    [[nodiscard]] std::uint32_t row_capacity(const row_limits& limits) const;

    attempt_ledger_options options_;
    std::optional<upstream_info> upstream_;
    steady_time upstream_changed_at_{};
    entry_map active_;
    work_queue queue_;
    attempt_archive archive_;
    std::set<std::pair<steady_time, attempt_id>> queue_deadlines_;
    /** @brief Estimate over all rows, also used for rows without calls of their own. */
    service_estimate overall_;
    std::map<row_key, service_estimate> estimates_;
    running_requests running_;
    run_throttle throttle_;
    size_type busy_slots_{};
    bool draining_{};
    std::optional<steady_time> work_end_;
};

} // namespace goldcrestwell

#endif
