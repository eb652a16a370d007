// Options of the daemon on a platform with a store. The figures follow the bounds that the platform's users set.

#include "goldcrestwell/cli/process_options.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

using std::chrono::milliseconds;

// Members that fail must be out of use within three seconds, and members cut off for a while must be back soon.
constexpr membership_timing timing{.probe_interval = milliseconds{500},
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
// Four announcements may be late or lost before an upstream counts as gone.
constexpr int announcements_missed = 4;
// News of a leaving upstream reaches all nodes within a few hundred milliseconds; its work ends well before its drain.
constexpr milliseconds longest_leave_grace{700};
constexpr int leave_grace_part = 3;
// Callers turn away from a node that is not ready after two questions a second apart, but not while half of the nodes
// of their data centre stop: so the node takes work for as long as its longest calls leave time before the end by
// force. On a slow host with a thin link a download needs a second beside its time-out of 1.5 s.
constexpr milliseconds min_drain_time{2'800};
constexpr milliseconds last_calls{3'000};
// Other nodes hear within some hundred milliseconds that the upstream leaves; what they send meanwhile still runs.
constexpr milliseconds leave_notice{600};
// Long enough for an answer to every caller with an open connection, at two calls a second.
constexpr milliseconds drain_refusal_time{500};
// A host has about three callers with two calls a second each, so one second without a call means that they have left.
constexpr milliseconds drain_idle_time{1'000};
// Kept free before the end by force. An earlier end would only cut answers that are still being written.
constexpr milliseconds stop_margin{450};
constexpr milliseconds max_member_wait{1'500};
constexpr std::size_t control_bytes_per_second = 20'000;
constexpr milliseconds default_retry_after{300};
constexpr milliseconds shortest_retry_after{100};
// The users' upstreams are cold for three seconds; the announcement that ends it may be lost.
constexpr milliseconds slow_start{3'000};
constexpr std::uint32_t redirects = 3;
// A refused or hung connection to the upstream on the same host shows at once.
constexpr milliseconds connect_timeout{250};
// The bound on repeated requests is 20 % of all; retries of calls made by repeated requests count too.
constexpr double retries_per_call = 0.08;
constexpr double retries_per_second = 0.1;
constexpr double retries_saved = 3.0;

milliseconds drain_refusal_delay(const sidecar_settings& settings) {
    return std::max(milliseconds{settings.stop_grace} - last_calls, milliseconds{settings.stop_grace} / 2);
}

node_options to_core_options(const sidecar_settings& settings, const wall_time started, const std::uint64_t seed) {
    return {.self = settings.self,
            .start_incarnation = incarnation{static_cast<std::uint64_t>(started.time_since_epoch().count())},
            .data_centre = settings.data_centre,
            .region = settings.region,
            .seed = seed,
            .membership = timing,
            .control_bytes_per_second = control_bytes_per_second,
            .calls = {.max_redirects = redirects,
                      .retry_after = default_retry_after,
                      .shortest_retry = shortest_retry_after,
                      .slow_start = slow_start,
                      .retries = {.retries_per_call = retries_per_call,
                                  .retries_per_second = retries_per_second,
                                  .max_tokens = retries_saved}},
            .announcement_expiry = settings.announcement_interval * announcements_missed,
            .min_drain_time = min_drain_time,
            .drain_idle_time = drain_idle_time,
            .drain_refusal_delay = drain_refusal_delay(settings),
            .drain_leave_delay = std::min(drain_refusal_delay(settings), min_drain_time) - leave_notice,
            .drain_refusal_time = drain_refusal_time,
            .leave_grace_period = std::min(longest_leave_grace, settings.upstream_drain / leave_grace_part),
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
            .drain_limit = milliseconds{settings.stop_grace} - stop_margin,
            .close_callers_after = drain_refusal_delay(settings)};
}

} // namespace goldcrestwell
