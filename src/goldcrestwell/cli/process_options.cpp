#include "goldcrestwell/cli/process_options.hpp"

#include "goldcrestwell/shell/call_mapping.hpp"

namespace goldcrestwell {

namespace {

constexpr double percent = 100.0;

membership_timing to_timing(const membership_settings& settings) {
    return {.probe_interval = settings.probe_interval,
            .ack_timeout = settings.probe_timeout,
            .suspicion_unit = settings.suspicion_unit,
            .sync_interval = settings.sync_interval};
}

node_options to_core_options(const node_settings& settings, const wall_time started, const std::uint64_t seed) {
    return {.self = settings.self,
            .start_incarnation = incarnation{static_cast<std::uint64_t>(started.time_since_epoch().count())},
            .data_centre = settings.data_centre,
            .region = settings.region,
            .seeds = settings.seeds,
            .seed = seed,
            .membership = to_timing(settings.membership),
            .control_bytes_per_second = settings.membership.control_bytes_per_second,
            .calls = {.default_timeout = settings.calls.default_timeout,
                      .max_hops = settings.calls.max_hops,
                      .max_retries = settings.calls.max_retries,
                      .retries = {.retries_per_call = settings.calls.retry_budget_percent / percent}},
            .rollouts = {.schedule = {.default_rollout_duration = settings.rollouts.default_duration,
                                      .min_dwell = settings.rollouts.dwell,
                                      .max_bake = settings.rollouts.bake_time},
                         .tick = settings.rollouts.evidence_interval,
                         .min_samples = settings.rollouts.min_samples},
            .log = {.retention = settings.platform_log.retention, .long_poll = settings.platform_log.long_poll},
            .announcement_expiry = settings.announcement.expiry};
}

} // namespace

node_process_options to_process_options(const node_settings& settings, const wall_time started,
                                        const std::uint64_t seed) {
    const auto& callers = settings.caller_listener;
    return {.core = to_core_options(settings, started, seed),
            .callers = {.server = {.address = callers.address,
                                   .port = callers.port,
                                   .limits = {.max_header_bytes = callers.max_header_bytes,
                                              .max_body_bytes = callers.max_body_bytes,
                                              .idle_timeout = callers.idle_timeout}},
                        .to_call = [timeout = settings.calls.default_timeout](
                                       const http_exchange& exchange) { return to_call(exchange, timeout); },
                        .to_response = to_http},
            .admin = {.address = settings.admin_listener.address, .port = settings.admin_listener.port},
            .log = {.server = to_endpoint(settings.platform_log.address),
                    .stream = settings.platform_log.stream,
                    .request_timeout = settings.platform_log.request_timeout},
            .upstream = {.max_response_bytes = callers.max_body_bytes,
                         .max_connections = settings.calls.max_connections,
                         .headers = upstream_headers},
            .drain_limit = settings.drain.limit};
}

} // namespace goldcrestwell
