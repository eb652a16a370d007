// Options of the daemon on a platform with a store. The values follow from the limits set by the users of the platform.

#include "goldcrestwell/cli/process_options.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

using std::chrono::milliseconds;

// Failed members must be out of use within three seconds, and members must be usable again soon after a partition.
constexpr membership_timing sidecar_membership_timing{.probe_interval = milliseconds{500},
                                                      .ack_timeout = milliseconds{150},
                                                      .suspicion_unit = milliseconds{500},
                                                      .min_push_interval = milliseconds{20},
                                                      .push_interval = milliseconds{100},
                                                      .sync_interval = milliseconds{5'000},
                                                      .catch_up_interval = milliseconds{200},
                                                      .join_backoff = milliseconds{100},
                                                      .max_join_backoff = milliseconds{1'000},
                                                      .join_fan_out = 3,
                                                      .new_seed_fan_out = 64,
                                                      .reconnect_interval = milliseconds{1'000}};
// Up to four announcements may be late or lost before an upstream expires.
constexpr int max_missed_announcements = 4;
// All nodes know within a few hundred milliseconds that an upstream is leaving. The grace period has to end well before
// the drain of the upstream.
constexpr milliseconds max_leave_grace{700};
constexpr int leave_grace_divisor = 3;
// Callers stop using a node after two failed readiness checks one second apart, but not while half of the nodes in
// their data centre are shutting down. A node therefore accepts calls as long as the longest ones can still finish
// before the process is killed. On a slow host with little bandwidth, a download takes one second on top of its timeout
// of 1.5 s.
constexpr milliseconds min_drain_time{2'800};
constexpr milliseconds last_calls_reserve{3'000};
// Other nodes know within a few hundred milliseconds that the upstream is leaving; calls that they send in the meantime
// are still executed.
constexpr milliseconds leave_lead_time{600};
// Long enough to respond once to every caller with an open connection, at two calls per second.
constexpr milliseconds drain_refusal_time{500};
// A host has about three callers with two calls per second each, so one second without a call means that they no longer
// use this node.
constexpr milliseconds drain_idle_time{1'000};
// Callers need up to 3 s to switch to another node: up to one second to the first of two failed readiness checks, one
// second to the second one, and one for calls on the way. A busy host handles the stop signal up to 200 ms late.
constexpr milliseconds drain_switch_time{2'800};
// Time to write the response of a call that ends at its deadline, before calls in progress are aborted.
constexpr milliseconds last_response_time{150};
// Time between the end of the drain and the kill of the process. A longer margin would only cut off responses that are
// still being written.
constexpr milliseconds stop_margin{450};
constexpr milliseconds max_member_wait{1'500};
constexpr std::size_t control_bytes_per_second = 20'000;
constexpr milliseconds default_retry_after{300};
constexpr milliseconds min_retry_after{100};
// Upstreams of the platform's users are cold for three seconds after their start; the announcement that ends the
// warm-up may be lost.
constexpr milliseconds slow_start{3'000};
constexpr std::uint32_t redirect_limit = 3;
// The upstream is on the same host, so a refused or hanging connection is detected quickly.
constexpr milliseconds connect_timeout{250};
// Repeated requests are limited to 20 % of all requests, including retries of calls that repeated requests make.
constexpr double retries_per_call = 0.08;
constexpr double retries_per_second = 0.1;
constexpr double max_saved_retries = 3.0;

milliseconds drain_refusal_delay(const sidecar_settings& settings) {
    return std::max(milliseconds{settings.shutdown_timeout} - last_calls_reserve,
                    milliseconds{settings.shutdown_timeout} / 2);
}

node_options to_core_options(const sidecar_settings& settings, const wall_time started, const std::uint64_t seed) {
    return {.self = settings.self,
            .start_incarnation = incarnation{static_cast<std::uint64_t>(started.time_since_epoch().count())},
            .data_centre = settings.data_centre,
            .region = settings.region,
            .seed = seed,
            .membership = sidecar_membership_timing,
            .control_bytes_per_second = control_bytes_per_second,
            .calls = {.max_redirects = redirect_limit,
                      .retry_after = default_retry_after,
                      .min_retry_after = min_retry_after,
                      .slow_start = slow_start,
                      .retries = {.retries_per_call = retries_per_call,
                                  .retries_per_second = retries_per_second,
                                  .max_tokens = max_saved_retries}},
            .announcement_expiry = settings.announcement_interval * max_missed_announcements,
            .min_drain_time = min_drain_time,
            .drain_idle_time = drain_idle_time,
            .drain_refusal_delay = drain_refusal_delay(settings),
            .drain_leave_delay = std::min(drain_refusal_delay(settings), min_drain_time) - leave_lead_time,
            .drain_work_limit = milliseconds{settings.shutdown_timeout} - stop_margin - last_response_time,
            .drain_switch_time = drain_switch_time,
            .drain_refusal_time = drain_refusal_time,
            .leave_grace_period = std::min(max_leave_grace, settings.upstream_drain / leave_grace_divisor),
            .max_member_wait = max_member_wait};
}

} // namespace

node_process_options to_process_options(const sidecar_settings& settings, const wall_time started,
                                        const std::uint64_t seed) {
    const auto callers = to_endpoint(settings.caller_listener);
    const auto admin = to_endpoint(settings.admin_listener);
    return {.core = to_core_options(settings, started, seed),
            .callers = {.server = {.address = callers.address, .port = callers.port}},
            .admin = {.address = admin.address, .port = admin.port},
            .upstream = {.connect_timeout = connect_timeout},
            .drain_limit = milliseconds{settings.shutdown_timeout} - stop_margin,
            .caller_close_delay = drain_refusal_delay(settings)};
}

} // namespace goldcrestwell
