// Functions of a node whose configuration comes from operators' documents in the platform's store.

#include "goldcrestwell/core/common/rendezvous.hpp"
#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/core/message/upstream_announcement.hpp"
#include "goldcrestwell/core/node/node.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <span>
#include <string_view>
#include <utility>

namespace goldcrestwell {

namespace {

// A node probes another node every half second and is probed as often, so a second without messages means that it is
// disconnected. A node on standby checks this every half second and then reads the store, so it still receives a change
// within two seconds.
constexpr std::chrono::milliseconds max_silence{1'000};

} // namespace

operator_source_links node::make_operator_links() {
    return {.seed = options_.seed,
            .rollouts = {.self = options_.self,
                         .nodes = [this] { return membership_.alive(); },
                         .count_upstreams =
                             [this](const service_name& service, const upstream_version& version) {
                                 return membership_.upstreams(service, version).size();
                             },
                         .service_of =
                             [this](const node_id id) {
                                 const auto* record = membership_.find(id);
                                 return record != nullptr && record->upstream ? record->upstream->service
                                                                              : service_name{};
                             },
                         .broadcast =
                             [this](const rollout_update& update) {
                                 options_.hooks.event(update);
                                 queue([this, update] { membership_.broadcast(update, true, now_); });
                             },
                         .send_evidence =
                             [this](const node_id to, const evidence_report& report) {
                                 send_evidence(to, report);
                             }},
            .send_pull = [this](const node_id to, const document_pull& pull) { request_records(to, pull); },
            .send_batch =
                [this](const node_id to, const document_batch& batch) {
                    send_control_frame(to, batch, control_priority::position);
                },
            .is_nearby =
                [this](const node_id id) {
                    const auto* record = membership_.find(id);
                    return record != nullptr && record->data_centre == options_.data_centre;
                },
            .reads_store_immediately = [this] { return reads_store_immediately(); },
            .polls_store_briefly = [this] { return store_readers().front() == options_.self; },
            .has_recent_contact = [this] { return now_.steady - last_message_received_ < max_silence; },
            .config_changed = [this](const routing_config& config) { on_config(config); },
            .rollout_request_received =
                [this](const rollout_request& request) {
                    options_.hooks.event(rollout_requested{.request = request});
                    for (const auto& [id, record] : membership_.members()) {
                        add_upstream_version(record);
                    }
                },
            .store_changed = [this](const bool reachable) { on_store_changed(reachable); },
            .record_unreadable =
                [this](const operator_record& record) {
                    counts_.drops.add(drop_reason::record_unreadable);
                    options_.hooks.event(record_unreadable{.key = record.key, .offset = record.offset});
                },
            .record_skipped =
                [this](const record_skipped& skipped) {
                    options_.hooks.event(skipped);
                }};
}

node_directory_options node::make_directory_options() {
    return {.self = options_.self,
            .seed = options_.seed,
            .write_node_entry = options_.operators->hooks.write_node_entry,
            .read_node_directory = options_.operators->hooks.read_node_directory,
            .is_isolated = [this] { return membership_.alive().size() <= 1; },
            .is_urgent =
                [this] {
                    // Later announcements of the upstream show that it is in service.
                    return !departures_->started() &&
                           (departures_->is_waiting() || now_.steady < started_ + max_announcement_delay);
                },
            .nodes_discovered =
                [this](std::vector<node_id> nodes) {
                    membership_.set_seeds(std::move(nodes), now_);
                }};
}

departure_recorder_options node::make_departure_options() {
    return {.write = options_.operators->hooks.write_departures,
            .answered = [this](const upstream_departure& departure, const bool recorded) {
                options_.hooks.event(departure_answered{.departure = departure, .recorded = recorded});
            }};
}

departure_lookup_options node::make_lookup_options() {
    return {.seed = options_.seed,
            .peers =
                [this] {
                    auto peers = membership_.alive();
                    std::erase(peers, options_.self);
                    return peers;
                },
            .send_query =
                [this](const node_id to) { send_control_frame(to, departure_query{}, control_priority::position); },
            .send_answer =
                [this](const node_id to, const std::vector<upstream_departure>& departures) {
                    send_control_frame(to, departure_answer{.departures = departures}, control_priority::position);
                },
            .read = options_.operators->hooks.read_departures};
}

store_history_options node::make_history_options() {
    return {.replaced = [this](const store_era previous,
                               const store_era current) { on_history_replaced(previous, current); },
            .stale_response =
                [this](const store_era era, const store_era current) {
                    options_.hooks.event(stale_store_response{.era = era, .current = current});
                }};
}

void node::on_history_replaced(const store_era previous, const store_era current) {
    options_.hooks.event(store_history_replaced{.previous = previous, .current = current});
    operators_->on_history_replaced(now_);
    directory_->on_history_replaced(now_.steady);
    departures_->on_history_replaced();
}

std::optional<store_era> node::on_store_response(const std::optional<store_era> era, const time_sample now) {
    now_ = now;
    const auto response_era = history_.on_response(era);
    run_tasks();
    return response_era;
}

// The other nodes of the data centre are notified of a change by these readers and fetch it from them, without a call
// to the store.
std::vector<node_id> node::store_readers() const {
    // If a third of the nodes cannot reach the store, one data centre in thirty has no reader; it then receives changes
    // from the other data centres.
    constexpr std::size_t reader_count = 3;
    constexpr std::string_view assignment_name{"operators' topic"};
    auto order = membership_.alive_in(options_.data_centre);
    if (std::ranges::find(order, options_.self) == order.end()) {
        order.push_back(options_.self);
    }
    order = rendezvous_order(stable_hash(assignment_name), std::move(order));
    order.resize(std::min(reader_count, order.size()));
    return order;
}

bool node::reads_store_immediately() const {
    const auto readers = store_readers();
    return std::ranges::find(readers, options_.self) != readers.end();
}

void node::on_store_page(const store_page& page, const time_sample now) {
    now_ = now;
    record_origin_.on_records(std::nullopt);
    operators_->on_page(page, now);
    run_tasks();
}

void node::on_statuses(const std::optional<std::vector<rollout_status>>& statuses, const log_offset end,
                       const time_sample now) {
    now_ = now;
    operators_->on_statuses(statuses, end, now);
    run_tasks();
}

void node::on_status_written(const bool confirmed, const time_sample now) {
    now_ = now;
    operators_->on_status_written(confirmed, now);
    run_tasks();
}

void node::on_node_entry_written(const bool confirmed, const time_sample now) {
    now_ = now;
    directory_->on_written(confirmed, now.steady);
    run_tasks();
}

void node::on_node_directory_read(const std::optional<std::vector<node_id>>& entries, const time_sample now) {
    now_ = now;
    directory_->on_node_directory_read(entries, now.steady);
    if (entries) {
        operators_->on_store_contact();
    } else {
        departure_lookup_->on_own_read_failed(now.steady);
    }
    run_tasks();
}

void node::on_upstream_departed(const std::vector<upstream_departure>& departures,
                                departure_recorder::answer_hook answer, const time_sample now) {
    now_ = now;
    departures_->record(departures, std::move(answer), now.steady);
    run_tasks();
}

void node::on_departures_restored(const std::vector<upstream_departure>& departures, const time_sample now) {
    now_ = now;
    departures_->start(departures);
    departure_lookup_->stop();
    run_tasks();
}

void node::on_departures_read(const std::optional<std::vector<host_departures>>& found, const time_sample now) {
    now_ = now;
    departure_lookup_->on_read(found);
    run_tasks();
}

void node::on_departure_written(const bool confirmed, const time_sample now) {
    now_ = now;
    departures_->on_written(confirmed, now.steady);
    run_tasks();
}

// Without members a node knows only its local upstream, so right after its start it would refuse calls that other nodes
// can serve.
bool node::ready() const noexcept {
    if (!operators_) {
        return follower_.ready();
    }
    const auto knows_others =
        ready_reported_ || candidates_.size() > 1 || now_.steady >= started_ + options_.max_member_wait;
    return operators_->config().has_value() && knows_others;
}

log_offset node::position() const noexcept {
    return operators_ ? operators_->position() : follower_.position();
}

std::uint64_t node::config_version() const {
    if (operators_) {
        return operators_->config() ? operators_->config()->version : 0;
    }
    return follower_.reducer().snapshot()->version().value();
}

bool node::refuses_work() const noexcept {
    return leaving_ || (drain_started_ && now_.steady >= *drain_started_ + options_.drain_refusal_delay);
}

std::vector<version_share> node::shares_of(const route_view& route) const {
    return operators_ ? operators_->rollout_tracker().shares(route.service, now_.steady) : rollout_.shares(route.route);
}

// In the canary stage only a few upstreams of the version are called, the same ones by all nodes, so that each of them
// gets the load that it will have after the complete rollout.
std::span<const upstream_candidate> node::candidates_of(const service_name& service, const upstream_version& version) {
    const auto all = candidates_.find(service, version);
    const auto group =
        operators_ ? operators_->rollout_tracker().active_canary_group(service, version, now_.steady) : std::nullopt;
    if (all.empty() || !group || group->count >= all.size()) {
        return all;
    }
    std::vector<node_id> order;
    order.reserve(all.size());
    std::ranges::transform(all, std::back_inserter(order), &upstream_candidate::node);
    std::ranges::sort(order);
    canary_upstreams_.clear();
    std::ranges::copy_if(all, std::back_inserter(canary_upstreams_), [&](const upstream_candidate& candidate) {
        const auto position_in_order =
            static_cast<std::size_t>(std::ranges::lower_bound(order, candidate.node) - order.begin());
        return (position_in_order + order.size() - group->first % order.size()) % order.size() < group->count;
    });
    return canary_upstreams_;
}

bool node::is_row_failing(const row_key& row) {
    if (operators_) {
        return upstream_ && operators_->rollout_tracker().is_rolled_back(upstream_->service, row.version);
    }
    return rollout_.must_refuse_call(row, now_);
}

void node::add_upstream_version(const member& record) {
    if (operators_ && record.status == member_status::alive && record.upstream) {
        operators_->rollout_tracker().on_upstream(record.upstream->service, record.upstream->version, now_);
    }
}

void node::receive_rollout(const rollout_update& update) {
    if (operators_) {
        operators_->rollout_tracker().on_update(update, now_);
    } else {
        rollout_.on_update(update, now_);
    }
}

void node::receive_position(const node_id from, const log_offset position) {
    if (operators_) {
        record_origin_.on_peer_position(position, operators_->position(), now_.steady);
        operators_->on_peer_position(from, position, now_);
        // A node on standby may not call the store for long, but what it has recorded there may be lost.
        if (history_.on_peer_era(era_of(position))) {
            directory_->on_history_replaced(now_.steady);
        }
    } else {
        follower_.on_peer_position(from, position, now_);
    }
}

void node::request_records(const node_id from, const document_pull& pull) {
    options_.hooks.event(records_requested{.peer = from, .after = pull.after});
    send_control_frame(from, pull, control_priority::position);
}

void node::on_config(const routing_config& config) {
    options_.hooks.event(config_applied{.version = config.version,
                                        .routes = config.routes.size(),
                                        .position = operators_->position(),
                                        .peer = record_origin_.peer(),
                                        .delay = record_origin_.delay(now_.steady)});
    options_.hooks.config_changed(config);
}

void node::on_store_changed(const bool reachable) {
    store_changed event{.reachable = reachable};
    const auto lost_at = std::exchange(store_lost_at_, reachable ? std::nullopt : std::optional{now_.steady});
    if (reachable && lost_at) {
        event.outage = std::chrono::floor<std::chrono::milliseconds>(now_.steady - *lost_at);
    }
    options_.hooks.event(event);
}

void node::observe(const call_observation& observation) {
    if (!operators_) {
        rollout_.record(observation, now_);
    } else if (upstream_) {
        operators_->rollout_tracker().record(upstream_->service, observation, now_);
    }
}

} // namespace goldcrestwell
