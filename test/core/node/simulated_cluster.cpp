#include "core/node/simulated_cluster.hpp"

#include <algorithm>

namespace goldcrestwell::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t host_count = 10;
constexpr std::size_t region_count = 2;
/** Durations short enough for rollouts, bake times, checkpoints and expiry within a history of a few minutes. */
constexpr seconds retention{150};
constexpr seconds rollout_duration{40};
constexpr seconds bake_time{20};
constexpr milliseconds announce_interval{1'000};
constexpr milliseconds drain_check_interval{50};
constexpr milliseconds leave_time{200};

/** Three of the five hosts of a service run the baseline version. */
upstream_info upstream_of(const std::size_t index) {
    return {.service = {index % 2 == 0 ? "orders" : "proofs"},
            .version = {index < 6 ? "v1" : "v2"},
            .slots = 10,
            .connections = 130};
}

} // namespace

const std::vector<test_route>& test_routes() {
    static const std::vector<test_route> routes{
        {{"/orders"}, {"orders"}}, {{"/orders/express"}, {"orders"}}, {{"/proofs"}, {"proofs"}}};
    return routes;
}

simulated_cluster::simulated_cluster(const std::uint64_t seed)
    : random_{seed}, platform_{time_, seed, retention}, network_{time_, seed, make_network_hooks()} {
    hosts_.resize(host_count);
    for (size_type index = 0; index < host_count; ++index) {
        auto& self = hosts_[index];
        self.id = node_id{static_cast<std::uint32_t>(0x0A000001 + index), 7000};
        self.region = {"region" + std::to_string(index / 2 % region_count)};
        self.site = {"site" + std::to_string(index % 4)};
        self.upstream = std::make_unique<fake_upstream>(
            time_, seed + index, [this, index](const attempt_id& id, const upstream_result& result) {
                schedule_at(index, {}, [this, id, result](node& process) {
                    process.on_upstream_result(id, result, time_.sample());
                });
            });
        self.upstream->info = upstream_of(index);
        indices_[self.id] = index;
        announce(index);
    }
}

network_hooks simulated_cluster::make_network_hooks() {
    return {.frame_arrived =
                [this](const size_type to, const size_type from, const peer_message& message) {
                    schedule_at(to, {}, [this, from, message](node& process) {
                        process.on_peer_message(hosts_[from].id, message, time_.sample());
                    });
                },
            .datagram_arrived =
                [this](const size_type to, const datagram& message) {
                    schedule_at(to, {},
                                [this, message](node& process) { process.on_datagram(message, time_.sample()); });
                },
            .peer_lost =
                [this](const size_type index, const size_type peer) {
                    schedule_at(index, {},
                                [this, peer](node& process) { process.on_peer_lost(hosts_[peer].id, time_.sample()); });
                },
            .running = [this](const size_type index) { return running(index); },
            .region_of = [](const size_type index) { return index / 2 % region_count; },
            .start_incarnation_of =
                [this](const size_type index) {
                    return hosts_[index].start_incarnation.value();
                }};
}

node_hooks simulated_cluster::hooks_for(const size_type index) {
    return {.send_frame =
                [this, index](const node_id to, const peer_message& message) {
                    if (const auto* request = std::get_if<attempt_request>(&message)) {
                        check_attempt(index, indices_.at(to), request->route, request->version);
                    }
                    network_.send_frame(index, indices_.at(to), message);
                },
            .send_datagram =
                [this, index](const node_id to, const datagram& message) {
                    network_.send_datagram(index, indices_.at(to), message);
                },
            // Sizes measured by bench_codec_cost: 42 bytes, and 66 for each member record or rollout state.
            .datagram_size =
                [](const datagram& message) { return 42 + 66 * (message.members.size() + message.rollouts.size()); },
            .frame_size = [](const peer_message&) -> size_type { return 200; },
            .replace_connection = [this, index](const node_id peer) { network_.replace(index, indices_.at(peer)); },
            .start_upstream = [this, index](const attempt_id& id, const call_request& call,
                                            const milliseconds timeout) { run_request(index, id, call, timeout); },
            .abort_upstream = [this, index](const attempt_id& id) { hosts_[index].upstream->abort(id); },
            .read_log =
                [this, index](const log_offset after, const milliseconds wait) {
                    platform_.read(after, wait,
                                   {.records =
                                        [this, index, start_incarnation = hosts_[index].start_incarnation](
                                            const record_batch& batch) {
                                            run_at(index, start_incarnation, [this, batch](node& process) {
                                                process.on_log_batch(batch, time_.sample());
                                            });
                                        },
                                    .failed =
                                        [this, index, start_incarnation = hosts_[index].start_incarnation] {
                                            run_at(index, start_incarnation,
                                                   [this](node& process) { process.on_log_failure(time_.sample()); });
                                        }});
                },
            .append_record = [this](const log_record& record) { platform_.append(record); },
            .schedule_wake_up = [this, index](const steady_time when) { schedule_wake_up(index, when); },
            .event = [this, index](const node_event& event) { on_event(index, event); },
            .invariant_violated =
                [this, index](const invariant_id id) {
                    checks_.check(id, false, "monitor of " + node_label(index));
                }};
}

node_options simulated_cluster::options_for(const size_type index) {
    const auto& self = hosts_[index];
    return {.self = self.id,
            .start_incarnation = self.start_incarnation,
            .data_centre = self.site,
            .region = self.region,
            .seeds = {hosts_[0].id, hosts_[1].id, hosts_[3].id},
            .seed = random_(),
            .calls = {.default_timeout = seconds{5}},
            .rollouts = {.schedule = {.default_rollout_duration = rollout_duration,
                                      .max_dwell = seconds{10},
                                      .max_bake = bake_time}},
            .log = {.retention = retention},
            .hooks = hooks_for(index)};
}

void simulated_cluster::schedule_at(const size_type index, const std::chrono::microseconds delay,
                                    std::function<void(node&)> action) {
    time_.after(delay, [this, index, start_incarnation = hosts_[index].start_incarnation, action = std::move(action)] {
        run_at(index, start_incarnation, action);
    });
}

void simulated_cluster::run_at(const size_type index, const incarnation start_incarnation,
                               const std::function<void(node&)>& action) {
    auto& self = hosts_[index];
    if (self.process == nullptr || self.start_incarnation != start_incarnation) {
        return;
    }
    if (time_.now() < self.paused_until) {
        time_.at(self.paused_until,
                 [this, index, start_incarnation, action] { run_at(index, start_incarnation, action); });
        return;
    }
    action(*self.process);
    check_version(index);
}

void simulated_cluster::schedule_wake_up(const size_type index, const steady_time when) {
    hosts_[index].wake_time = when;
    time_.at(when, [this, index, when, start_incarnation = hosts_[index].start_incarnation] {
        run_at(index, start_incarnation, [this, index, when](node& process) {
            if (hosts_[index].wake_time == when) {
                hosts_[index].wake_time.reset();
                process.on_timer(time_.sample());
            }
        });
    });
}

void simulated_cluster::announce(const size_type index) {
    if (hosts_[index].upstream->up && !hosts_[index].withdrawn) {
        schedule_at(index, {}, [this, index](node& process) {
            process.on_upstream_announced(hosts_[index].upstream->info, time_.sample());
        });
    }
    time_.after(announce_interval, [this, index] { announce(index); });
}

void simulated_cluster::start(const size_type index) {
    auto& self = hosts_[index];
    self.start_incarnation = incarnation{static_cast<std::uint64_t>(time_.sample().wall.time_since_epoch().count())};
    self.started = time_.now();
    self.disturbed_until = time_.now();
    self.version = {};
    self.closed_since.reset();
    self.withdrawn = false;
    self.draining = false;
    self.wake_time.reset();
    self.shares.clear();
    self.process = std::make_unique<node>(options_for(index));
    self.process->start(time_.sample());
}

void simulated_cluster::end_process(const size_type index) {
    auto& self = hosts_[index];
    for (auto& record : calls_) {
        record.caller_lost = record.caller_lost || (record.host == index && record.results == 0);
    }
    // The object is destroyed later because it may currently be handling an event.
    time_.after({}, [old = std::shared_ptr<node>{std::move(self.process)}] {});
    self.upstream->discard_requests();
    self.paused_until = {};
    ++coverage_.restarts;
}

void simulated_cluster::kill(const size_type index) {
    // Half of the connections are reset at once; the others become silent, as after a power failure.
    for (size_type other = 0; other < size(); ++other) {
        if (other != index && random_below(2) == 0) {
            network_.reset(index, other);
        }
    }
    end_process(index);
}

void simulated_cluster::pause(const size_type index, const milliseconds duration) {
    auto& self = hosts_[index];
    if (paused(index)) {
        return; // A second pause would reorder the actions that wait for the end of the first one.
    }
    self.paused_until = time_.now() + duration;
    self.disturbed_until = std::max(self.disturbed_until, self.paused_until);
}

void simulated_cluster::drain(const size_type index) {
    hosts_[index].draining = true;
    ++coverage_.drains;
    schedule_at(index, {}, [this, index](node& process) {
        hosts_[index].closed_since = time_.now();
        process.on_drain(time_.sample());
        watch_drain(index);
    });
}

void simulated_cluster::watch_drain(const size_type index) {
    schedule_at(index, drain_check_interval, [this, index](node& process) {
        if (!process.drained(time_.sample())) {
            watch_drain(index);
            return;
        }
        const auto& self = hosts_[index];
        const auto waiting = std::ranges::count_if(calls_, [&](const call_record& record) {
            return record.host == index && record.start_incarnation == self.start_incarnation && record.results == 0 &&
                   !record.cancelled;
        });
        checks_.check(invariant_id::drain_cuts_nothing, waiting == 0 && self.upstream->idle(),
                      node_label(index) + " ended with " + std::to_string(waiting) + " calls");
        process.leave_cluster(time_.sample());
        schedule_at(index, leave_time, [this, index](node&) { end_process(index); });
    });
}

void simulated_cluster::withdraw_upstream(const size_type index) {
    hosts_[index].withdrawn = true;
    schedule_at(index, {}, [this, index](node& process) {
        // A paused node receives the withdrawal late, when the upstream may be available again.
        if (hosts_[index].withdrawn) {
            hosts_[index].closed_since = time_.now();
            process.on_upstream_withdrawn(time_.sample());
        }
    });
}

void simulated_cluster::kill_upstream(const size_type index) {
    hosts_[index].upstream->kill();
}

void simulated_cluster::start_upstream(const size_type index) {
    hosts_[index].upstream->up = true;
    hosts_[index].withdrawn = false;
    if (!hosts_[index].draining) {
        hosts_[index].closed_since.reset();
    }
}

void simulated_cluster::set_partitioned(const bool partitioned) {
    network_.set_partitioned(partitioned);
    for (auto& self : hosts_) {
        self.disturbed_until = std::max(self.disturbed_until, time_.now());
    }
}

void simulated_cluster::call(const size_type index) {
    const auto number = calls_.size();
    const auto& target = test_routes()[random_below(test_routes().size())].name;
    const auto route = route_at(index, target.value);
    calls_.push_back(
        {.host = index, .start_incarnation = hosts_[index].start_incarnation, .repeatable = random_below(2) == 0});
    ++coverage_.calls;
    auto& self = hosts_[index];
    const auto table = self.process->follower().reducer().snapshot();
    for (const auto& item : self.process->rollout().shares(route)) {
        const row_key key{route, item.version};
        const auto* row = table->find_row(key);
        self.shares[{key, row != nullptr ? row->row_version : log_offset{}}].allowed += item.share.value() / 1e6;
    }
    call_request request{.method = calls_.back().repeatable ? "GET" : "POST",
                         .target = target.value,
                         .headers = {},
                         .body = std::to_string(number),
                         .timeout = milliseconds{random_below(4) == 0 ? 800 : 5'000}};
    const auto id = self.process->on_call(
        std::move(request), [this, number](const call_result& result) { on_result(number, result); }, time_.sample());
    if (random_below(100) == 0) {
        schedule_at(index, milliseconds{random_below(20)}, [this, id, number](node& process) {
            if (calls_[number].results == 0) {
                calls_[number].cancelled = true;
                process.on_call_cancelled(id, time_.sample());
            }
        });
    }
}

void simulated_cluster::run_request(const size_type index, const attempt_id& id, const call_request& call,
                                    const milliseconds timeout) {
    auto& self = hosts_[index];
    const auto info = self.upstream->info;
    const auto fault = info.version.value == "v2" ? faults_[info.service] : version_fault{};
    if (id.origin == self.id) {
        check_attempt(index, index, route_at(index, call.target), info.version);
    }
    if (self.upstream->start(id, call, timeout, fault)) {
        checks_.check(invariant_id::leaving_gets_no_work,
                      !self.closed_since || time_.now() <= *self.closed_since + seconds{3},
                      node_label(index) + " gives its upstream call " + call.body.str());
        auto& record = calls_.at(std::stoul(call.body.str()));
        ++record.runs;
        checks_.check(invariant_id::at_most_once, record.repeatable || record.runs == 1,
                      "call " + call.body.str() + " at " + node_label(index));
    }
}

route_name simulated_cluster::route_at(const size_type index, const std::string& target) const {
    const auto snapshot = hosts_[index].process->follower().reducer().snapshot();
    return snapshot->find({target}) != nullptr ? route_name{target} : route_name{target.substr(0, target.find('/', 1))};
}

std::string simulated_cluster::node_label(const size_type index) const {
    const auto at = std::chrono::duration_cast<milliseconds>(time_.now().time_since_epoch()).count();
    return "node " + std::to_string(index) + " at " + std::to_string(at) + " ms";
}

} // namespace goldcrestwell::test
