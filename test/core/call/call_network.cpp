#include "core/call/call_network.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell::test {

namespace {

using namespace std::chrono_literals;

constexpr auto traffic_duration = 20s;
constexpr auto settling_duration = 70s; // longer than any deadline
const service_name service{"orders"};

std::pair<std::size_t, std::size_t> ordered_pair_of(const std::size_t first, const std::size_t second) {
    return std::minmax(first, second);
}

upstream_version version_of(const std::size_t index) {
    return {index < 2 ? "v1" : "v2"};
}

} // namespace

call_network::call_network(const std::uint64_t seed) : random_{seed} {
    for (std::size_t i = 0; i < node_count; ++i) {
        nodes_[i].id = node_id{0x7F000001, static_cast<std::uint16_t>(7001 + i)};
        nodes_[i].start_incarnation = incarnation{1'000};
        candidates_[version_of(i)].push_back({.node = nodes_[i].id, .slots = 3, .local = false, .announced_at = {}});
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        start_node(i);
    }
}

bool call_network::chance(const unsigned percent) {
    return random_() % 100 < percent;
}

std::size_t call_network::pick(const std::size_t count) {
    return static_cast<std::size_t>(random_() % count);
}

std::chrono::microseconds call_network::delay() {
    // One frame in fifty is delayed by up to 4 s and may arrive long after later frames.
    return chance(2) ? std::chrono::milliseconds{random_() % 4'000}
                     : std::chrono::microseconds{100 + random_() % 5'000};
}

void call_network::schedule_after(const std::chrono::microseconds delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
}

void call_network::at_node(const std::size_t index, const std::chrono::microseconds delay,
                           std::function<void(node&)> action) {
    schedule_after(delay,
                   [this, index, start_incarnation = nodes_[index].start_incarnation, action = std::move(action)] {
                       auto& target = nodes_[index];
                       if (target.start_incarnation != start_incarnation) {
                           return;
                       }
                       if (target.paused_until > now_) {
                           at_node(index, target.paused_until - now_, action);
                           return;
                       }
                       action(target);
                       schedule_timers(index);
                   });
}

void call_network::schedule_timers(const std::size_t index) {
    const auto& target = nodes_[index];
    for (const auto next : {target.dispatcher->next_timer(), target.ledger->next_timer()}) {
        if (next) {
            schedule_after(std::max(*next - now_, std::chrono::microseconds{0}), [this, index] { fire_timers(index); });
        }
    }
}

void call_network::fire_timers(const std::size_t index) {
    auto& target = nodes_[index];
    if (target.paused_until > now_) {
        schedule_after(target.paused_until - now_, [this, index] { fire_timers(index); });
        return;
    }
    const auto due = [this](const std::optional<steady_time> next) {
        return next && *next <= now_;
    };
    if (due(target.dispatcher->next_timer()) || due(target.ledger->next_timer())) {
        target.dispatcher->on_timer(now());
        target.ledger->on_timer(now());
        schedule_timers(index);
    }
}

call_dispatcher_options call_network::dispatcher_options(const std::size_t index) {
    auto& self = nodes_[index];
    return {.self = self.id,
            .start_incarnation = self.start_incarnation,
            .seed = random_(),
            .find_route = [](const call_request&) { return route_view{.route = {"/"}, .service = service}; },
            .find_policy = [](const row_key&) { return row_policy{}; },
            .shares =
                [](const route_view&) {
                    return std::vector<version_share>{{.version = {"v1"}, .share = share{700'000}},
                                                      {.version = {"v2"}, .share = share{300'000}}};
                },
            .candidates = [this](const service_name&, const upstream_version& version)
                -> std::span<const upstream_candidate> { return candidates_.at(version); },
            .start_incarnation_of = [&self](const node_id id) { return self.known_incarnations[id.port() - 7001U]; },
            .send = [this, index](const node_id to, const peer_message& message) { transmit(index, to, message); },
            .replace_connection =
                [this, index](const node_id peer) {
                    const auto peer_index = peer.port() - 7001U;
                    silent_links_.erase(ordered_pair_of(index, peer_index));
                    at_node(peer_index, delay(), [this, index](node& target) {
                        target.dispatcher->on_connection_lost(nodes_[index].id, now());
                    });
                },
            .reply =
                [this, index](const call_id call, const call_result& result) {
                    at_node(index, 0us, [this, index, call, result](node&) { on_result(index, call, result); });
                },
            .counts = &self.counts,
            .invariants = &invariants_};
}

attempt_ledger_options call_network::ledger_options(const std::size_t index) {
    auto& self = nodes_[index];
    return {.self = self.id,
            .start_incarnation = self.start_incarnation,
            .send = [this, index](const node_id to, const peer_message& message) { transmit(index, to, message); },
            .start_upstream = [this, index](const attempt_id& id, const call_request& call,
                                            std::chrono::milliseconds) { start_upstream(index, id, call); },
            .abort_upstream =
                [this, index](const attempt_id& id) {
                    nodes_[index].running.at(id).aborted = true;
                    end_upstream(index, id, {.outcome = upstream_outcome::reset, .response = {}});
                },
            .counts = &self.counts,
            .invariants = &invariants_};
}

void call_network::start_node(const std::size_t index) {
    auto& self = nodes_[index];
    self.counts = {};
    self.running.clear();
    self.callers.clear();
    self.draining = false;
    self.dispatcher = std::make_unique<call_dispatcher>(dispatcher_options(index));
    self.ledger = std::make_unique<attempt_ledger>(ledger_options(index));
    self.ledger->set_upstream(
        upstream_info{.service = service, .version = version_of(index), .slots = 3, .connections = 130}, now());
    for (std::size_t i = 0; i < node_count; ++i) {
        self.known_incarnations[i] = nodes_[i].start_incarnation;
        // Gossip takes some time to distribute the new start incarnation.
        schedule_after(500ms, [this, i, index, start_incarnation = self.start_incarnation] {
            nodes_[i].known_incarnations[index] = std::max(nodes_[i].known_incarnations[index], start_incarnation);
        });
    }
}

void call_network::restart(const std::size_t index) {
    for (const auto& [call, request] : nodes_[index].callers) {
        calls_[request].caller_lost = true;
    }
    const auto& counts = nodes_[index].counts;
    coverage_.late_replies += counts.drops[drop_reason::late_reply];
    nodes_[index].start_incarnation = incarnation{nodes_[index].start_incarnation.value() + 1'000};
    ++coverage_.restarts;
    start_node(index);
    for (std::size_t i = 0; i < node_count; ++i) {
        if (i != index) {
            lose_connection(i, index);
        }
    }
}

void call_network::drain(const std::size_t index) {
    nodes_[index].draining = true;
    nodes_[index].ledger->drain(now());
}

void call_network::lose_connection(const std::size_t first, const std::size_t second) {
    silent_links_.erase(ordered_pair_of(first, second));
    at_node(first, delay(),
            [this, second](node& self) { self.dispatcher->on_connection_lost(nodes_[second].id, now()); });
    at_node(second, delay(),
            [this, first](node& self) { self.dispatcher->on_connection_lost(nodes_[first].id, now()); });
}

void call_network::transmit(const std::size_t from, const node_id to, const peer_message& message) {
    const auto target = to.port() - 7001U;
    if (target == from) {
        at_node(target, 0us, [this, from, message](node& self) { deliver(from, self.id.port() - 7001U, message); });
        return;
    }
    if (silent_links_.contains(ordered_pair_of(from, target)) || (faults_on_ && chance(1))) {
        return;
    }
    const auto copies = faults_on_ && chance(5) ? 2 : 1;
    for (auto i = 0; i < copies; ++i) {
        const auto arrive = [this, from, target, message](node&) {
            deliver(from, target, message);
        };
        const auto arrival_delay = delay();
        if (std::holds_alternative<attempt_request>(message)) {
            at_node(target, arrival_delay, arrive);
        } else {
            // Frames other than requests may arrive over a new connection at the restarted process.
            schedule_after(arrival_delay,
                           [this, target, arrive] { at_node(target, std::chrono::microseconds{0}, arrive); });
        }
    }
}

void call_network::deliver(const std::size_t from, const std::size_t to, const peer_message& message) {
    auto& self = nodes_[to];
    const auto sender = nodes_[from].id;
    self.dispatcher->on_frame(sender, now());
    if (std::holds_alternative<heartbeat>(message)) {
        transmit(to, sender, heartbeat_ack{});
    } else if (const auto* request = std::get_if<attempt_request>(&message)) {
        self.ledger->on_request(sender, *request, now());
    } else if (const auto* query = std::get_if<attempt_query>(&message)) {
        self.ledger->on_query(sender, *query, now());
    } else if (const auto* cancel = std::get_if<attempt_cancel>(&message)) {
        self.ledger->on_cancel(sender, *cancel, now());
    } else if (const auto* reply = std::get_if<attempt_reply>(&message)) {
        self.dispatcher->on_reply(sender, *reply, now());
    } else if (const auto* status = std::get_if<attempt_status>(&message)) {
        coverage_.never_seen += status->progress == attempt_progress::never_seen ? 1 : 0;
        self.dispatcher->on_status(sender, *status, now());
    }
}

void call_network::start_call(const std::size_t index) {
    const auto request = calls_.size();
    calls_.push_back({.repeatable = chance(30)});
    auto& self = nodes_[index];
    const auto call = self.dispatcher->start({.method = calls_.back().repeatable ? "GET" : "POST",
                                              .target = "/",
                                              .headers = {},
                                              .body = std::to_string(request),
                                              .timeout = std::chrono::milliseconds{50 + random_() % 8'000}},
                                             now());
    self.callers.emplace(call.value(), request);
    if (chance(3)) {
        at_node(index, delay(), [this, call, request](node& target) {
            if (calls_[request].results == 0) {
                calls_[request].cancelled = true;
                target.dispatcher->cancel(call, now());
            }
        });
    }
}

void call_network::on_result(const std::size_t index, const call_id call, const call_result& result) {
    auto& record = calls_[nodes_[index].callers.at(call.value())];
    ++record.results;
    if (const auto* response = std::get_if<http_response>(&result)) {
        ++coverage_.answered;
        const auto request_number = std::to_string(nodes_[index].callers.at(call.value()));
        record.wrong_response = record.wrong_response || response->body != "answer " + request_number;
        return;
    }
    const auto not_run = std::get<call_refusal>(result).state == run_state::not_run;
    record.reported_not_run = record.reported_not_run || not_run;
    ++(not_run ? coverage_.not_run : coverage_.unknown);
}

void call_network::start_upstream(const std::size_t index, const attempt_id& id, const call_request& call) {
    nodes_[index].running[id] = {.request = call.body.str()};
    upstream_result result{.outcome = upstream_outcome::answered,
                           .response = {.status = 200, .headers = {}, .body = "answer " + call.body.str()}};
    if (chance(15)) {
        constexpr std::array failures{upstream_outcome::not_sent, upstream_outcome::timed_out, upstream_outcome::reset,
                                      upstream_outcome::truncated, upstream_outcome::too_large};
        result = {.outcome = failures[pick(failures.size())], .response = {}};
    }
    if (result.outcome != upstream_outcome::not_sent) {
        ++calls_[std::stoul(call.body.str())].runs;
    }
    at_node(index, std::chrono::milliseconds{1 + random_() % 100},
            [this, index, id, result](node&) { end_upstream(index, id, result); });
}

void call_network::end_upstream(const std::size_t index, const attempt_id& id, const upstream_result& result) {
    // The result of an abort is reported by a later event, as by a real upstream.
    at_node(index, 0us, [this, id, result](node& self) {
        if (self.running.erase(id) != 0) {
            self.ledger->on_upstream_result(id, result, now());
        }
    });
}

void call_network::inject_fault() {
    const auto first = pick(node_count);
    const auto second = (first + 1 + pick(node_count - 1)) % node_count;
    switch (pick(6)) {
    case 0:
    case 1:
        lose_connection(first, second);
        break;
    case 2:
    case 3:
        silent_links_.insert(ordered_pair_of(first, second));
        break;
    case 4:
        nodes_[first].paused_until =
            std::max(nodes_[first].paused_until, now_ + std::chrono::milliseconds{random_() % 4'000});
        break;
    default:
        restart(first);
    }
}

void call_network::run() {
    const auto start = now_;
    for (auto at = 0ms; at < traffic_duration; at += std::chrono::milliseconds{2 + random_() % 20}) {
        schedule_after(at, [this] {
            const auto index = pick(node_count);
            at_node(index, 0us, [this, index](node&) { start_call(index); });
        });
    }
    for (auto at = 0ms; at < traffic_duration; at += std::chrono::milliseconds{200 + random_() % 1'500}) {
        schedule_after(at, [this] { inject_fault(); });
    }
    schedule_after(traffic_duration * 3 / 4,
                   [this] { at_node(pick(node_count), 0us, [this](node& self) { drain(self.id.port() - 7001U); }); });
    schedule_after(traffic_duration, [this] { faults_on_ = false; });
    while (!events_.empty() && events_.begin()->first <= start + traffic_duration + settling_duration) {
        now_ = events_.begin()->first;
        const auto action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
}

history_faults call_network::faults() const {
    history_faults found{.violations = invariants_.violations()};
    for (const auto& record : calls_) {
        found.ran_twice += !record.repeatable && record.runs > 1 ? 1 : 0;
        found.false_not_run += record.reported_not_run && record.runs > 0 ? 1 : 0;
        found.results_missing += record.results == 0 && !record.cancelled && !record.caller_lost ? 1 : 0;
        found.results_repeated += record.results > 1 ? 1 : 0;
        found.wrong_responses += record.wrong_response ? 1 : 0;
    }
    for (const auto& self : nodes_) {
        found.cut_by_drain += self.draining ? self.ledger->in_progress() : 0;
    }
    return found;
}

history_coverage call_network::coverage() const {
    auto coverage = coverage_;
    coverage.calls = calls_.size();
    for (const auto& self : nodes_) {
        coverage.late_replies += self.counts.drops[drop_reason::late_reply];
        for (std::size_t i = 0; i < retry_reason_count; ++i) {
            coverage.retries += self.counts.retries[static_cast<retry_reason>(i)];
        }
    }
    return coverage;
}

} // namespace goldcrestwell::test
