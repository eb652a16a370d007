// Hooks that connect the modules. A hook that would change another module queues the change, because the calling module
// may itself have been called by that other module.

#include "goldcrestwell/core/node/node.hpp"

#include <utility>

namespace goldcrestwell {

membership_options node::make_membership_options() {
    return {.self = {.id = options_.self,
                     .start_incarnation = options_.start_incarnation,
                     .incarnation = options_.start_incarnation,
                     .data_centre = options_.data_centre,
                     .region = options_.region},
            .seeds = options_.seeds,
            .seed = options_.seed,
            .timing = options_.membership,
            .bytes_per_second = options_.control_bytes_per_second,
            .send_datagram = options_.hooks.send_datagram,
            .send_frame = options_.hooks.send_frame,
            .wire_size = options_.hooks.datagram_size,
            .member_changed = [this](const member& record) { on_member(record); },
            .rollout_received =
                [this](const rollout_update& update) { queue([this, update] { receive_rollout(update); }); },
            .position_received =
                [this](const node_id from, const log_offset position) {
                    queue([this, from, position] { receive_position(from, position); });
                },
            .known_rollouts =
                [this] { return operators_ ? operators_->rollout_tracker().rollouts() : rollout_.rollouts(); },
            .invariants = &invariants_};
}

config_follower_options node::make_follower_options() {
    return {
        .self = options_.self,
        .seed = options_.seed,
        .retention = options_.log.retention,
        .long_poll = options_.log.long_poll,
        .read_log = options_.hooks.read_log,
        .append_record = options_.hooks.append_record,
        .send_pull = [this](const node_id to,
                            const config_pull& pull) { send_control_frame(to, pull, control_priority::position); },
        .send_batch = [this](const node_id to,
                             const record_batch& batch) { send_control_frame(to, batch, control_priority::position); },
        .data_centre_peers = [this] { return membership_.alive_in(options_.data_centre); },
        .all_peers = [this] { return membership_.alive(); },
        .snapshot_changed =
            [this](std::shared_ptr<const table_snapshot> snapshot) {
                queue([this, changed = std::move(snapshot)] { on_snapshot(changed); });
            },
        .edit_decided = [this](const edit_verdict& verdict) { queue([this, verdict] { on_verdict(verdict); }); },
        .counts = &counts_,
        .invariants = &invariants_};
}

rollout_engine_options node::make_rollout_options() {
    return {.self = options_.self,
            .seed = options_.seed,
            .schedule = options_.rollouts.schedule,
            .tick_interval = options_.rollouts.tick,
            .min_samples = options_.rollouts.min_samples,
            .broadcast =
                [this](const rollout_update& update) {
                    options_.hooks.event(update);
                    queue([this, update] { membership_.broadcast(update, update.state.rolled_back, now_); });
                },
            .send_evidence = [this](const node_id to, const evidence_report& report) { send_evidence(to, report); },
            .append_record = [this](const rollout_record& record) { options_.hooks.append_record(record); },
            .service_nodes = [this](const service_name& service) { return membership_.service_nodes(service); },
            .has_upstream =
                [this](const service_name& service, const upstream_version& version) {
                    return !membership_.upstreams(service, version).empty();
                },
            .invariants = &invariants_};
}

call_dispatcher_options node::make_dispatcher_options() {
    return {.self = options_.self,
            .start_incarnation = options_.start_incarnation,
            .seed = options_.seed,
            .default_timeout = options_.calls.default_timeout,
            .max_hops = options_.calls.max_hops,
            .max_retries = options_.calls.max_retries,
            .max_redirects = options_.calls.max_redirects,
            .retry_after = options_.calls.retry_after,
            .retries = options_.calls.retries,
            .selection = {.seed = options_.seed, .slow_start = options_.calls.slow_start},
            .find_route = [this](const call_request& call) { return find_route(call); },
            .config_version = [this] { return config_version(); },
            .find_policy = [this](const row_key& key) { return find_policy(key); },
            .shares = [this](const route_view& route) { return shares_of(route); },
            .candidates = [this](const service_name& service,
                                 const upstream_version& version) { return candidates_of(service, version); },
            .start_incarnation_of =
                [this](const node_id target) {
                    const auto* record = membership_.find(target);
                    return record != nullptr ? record->start_incarnation : incarnation{};
                },
            .send = [this](const node_id to, const peer_message& message) { send_call_frame(to, message); },
            .replace_connection =
                [this](const node_id peer) {
                    if (peer != options_.self) {
                        options_.hooks.replace_connection(peer);
                    }
                },
            .reply = [this](const call_id call,
                            const call_result& result) { queue([this, call, result] { reply(call, result); }); },
            .report = [this](const call_event& event) { options_.hooks.event(event); },
            .counts = &counts_,
            .invariants = &invariants_};
}

attempt_ledger_options node::make_ledger_options() {
    return {.self = options_.self,
            .start_incarnation = options_.start_incarnation,
            .max_ids = options_.max_attempt_ids,
            .max_response_bytes = options_.max_archived_response_bytes,
            .min_retry_after = options_.calls.min_retry_after,
            .send = [this](const node_id to, const peer_message& message) { send_call_frame(to, message); },
            .start_upstream = options_.hooks.start_upstream,
            .abort_upstream = options_.hooks.abort_upstream,
            .observe =
                [this](const call_observation& observation) { queue([this, observation] { observe(observation); }); },
            .is_row_failing = [this](const row_key& row) { return is_row_failing(row); },
            .config_version = [this] { return config_version(); },
            .report = [this](const attempt_event& event) { record_attempt(event); },
            .counts = &counts_,
            .invariants = &invariants_};
}

} // namespace goldcrestwell
