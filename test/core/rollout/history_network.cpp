#include "core/rollout/history_network.hpp"

#include "core/rollout/engine_fixture.hpp"
#include "goldcrestwell/core/message/join.hpp"

#include <algorithm>

namespace goldcrestwell::test {

namespace {

constexpr std::size_t engine_count = 5;
constexpr std::size_t old_engines = 3;
constexpr auto step_time = std::chrono::milliseconds{500};
constexpr int faulty_steps = 400;
constexpr int healing_steps = 300;

} // namespace

history_network::history_network(const std::uint64_t seed) : random_{seed} {
    for (const auto* name : {"/a", "/b"}) {
        const route_name route{name};
        failure_rate_[route] = chance(0.5) ? 0.3 : 0.0;
        edit(route);
    }
    for (std::size_t index = 0; index < engine_count; ++index) {
        participants_.push_back({.engine = std::make_unique<rollout_engine>(options(index)),
                                 .upstream = index < old_engines ? old_version : new_version});
        give_snapshot(participants_.back());
    }
}

rollout_engine_options history_network::options(const std::size_t index) {
    const node_id self{index + 1};
    return {.self = self,
            .seed = random_(),
            .broadcast =
                [this, index](const rollout_update& update) {
                    for (std::size_t to = 0; to < engine_count; ++to) {
                        if (to != index) {
                            send(to, [this, update](rollout_engine& engine) { engine.on_update(update, now_); });
                        }
                    }
                },
            .send_evidence =
                [this](const node_id to, const evidence_report& report) {
                    send(to.value() - 1, [this, report](rollout_engine& engine) { engine.on_evidence(report, now_); });
                },
            .append_fact = [this](const rollout_record& fact) { append(fact); },
            .service_nodes =
                [](const service_name&) {
                    std::vector<node_id> nodes;
                    for (std::size_t node = 1; node <= engine_count; ++node) {
                        nodes.emplace_back(node);
                    }
                    return nodes;
                },
            .has_upstream = [this](const service_name&,
                                   const upstream_version& version) { return !gone_.contains(version); },
            .invariants = &monitor_};
}

void history_network::send(const std::size_t to, const std::function<void(rollout_engine&)>& deliver) {
    if (faulty_network_ && chance(0.2)) {
        return;
    }
    const auto copies = faulty_network_ && chance(0.1) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = std::chrono::milliseconds{faulty_network_ ? below(3'000) : 0};
        queue_.emplace(now_.steady + delay, delivery{.to = to, .deliver = deliver});
    }
}

void history_network::append(const rollout_record& fact) {
    const bool row_exists = std::any_of(plans_.begin(), plans_.end(), [&fact](const auto& entry) {
        const auto& rows = entry.second.rows;
        return std::any_of(rows.begin(), rows.end(), [&fact](const table_row& row) {
            return row.key == fact.key.row && row.row_version == fact.key.row_version;
        });
    });
    if (!log_down_ && row_exists) {
        head_ = log_offset{head_.value() + 1};
        recorded_[fact.key] = join(recorded_[fact.key], fact.state);
    }
}

void history_network::run_with_faults() {
    for (int count = 0; count < faulty_steps; ++count) {
        inject_faults();
        step();
    }
}

void history_network::heal() {
    faulty_network_ = false;
    log_down_ = false;
    gone_.clear();
    for (auto& one : participants_) {
        one.paused_until = now_.steady;
        give_snapshot(one);
    }
    for (int count = 0; count < healing_steps; ++count) {
        step();
        for (std::size_t from = 0; from < engine_count; ++from) {
            for (const auto& update : participants_[from].engine->rollouts()) {
                send((from + 1) % engine_count,
                     [this, update](rollout_engine& engine) { engine.on_update(update, now_); });
            }
        }
    }
}

void history_network::inject_faults() {
    if (chance(0.02)) {
        participants_[below(engine_count)].paused_until = now_.steady + std::chrono::seconds{1 + below(30)};
    }
    if (chance(0.02)) {
        log_down_ = !log_down_;
    }
    if (chance(0.01)) {
        gone_ = chance(0.5) ? std::set{chance(0.5) ? old_version : new_version} : std::set<upstream_version>{};
    }
    if (chance(0.003)) {
        edit({chance(0.5) ? "/a" : "/b"});
    }
    if (chance(0.01)) {
        const route_name route{chance(0.5) ? "/a" : "/b"};
        failure_rate_[route] = chance(0.5) ? 0.3 : 0.0;
    }
    if (chance(0.02)) {
        common_failures_ = chance(0.3) ? 0.3 : 0.01;
    }
    for (auto& one : participants_) {
        if (chance(0.1) && now_.steady >= one.paused_until) {
            give_snapshot(one);
        }
    }
}

void history_network::edit(const route_name& route) {
    head_ = log_offset{head_.value() + 1};
    const auto policy = chance(0.5) ? thin_evidence_policy::proceed : thin_evidence_policy::hold;
    const auto duration = std::chrono::seconds{20 + below(100)};
    plans_[route] = move_plan(route, head_, now_.wall, duration, policy);
}

void history_network::give_snapshot(participant& one) {
    rollout_input input{.position = head_, .plans = {}, .recorded = {}};
    for (const auto& [route, plan] : plans_) {
        input.plans.push_back(plan);
    }
    for (const auto& [key, state] : recorded_) {
        input.recorded.push_back({.key = key, .state = state});
    }
    one.engine->on_plans(input, now_);
    observe(one);
}

void history_network::step() {
    now_.steady += step_time;
    now_.wall += step_time;
    while (!queue_.empty() && queue_.begin()->first <= now_.steady) {
        const auto next = std::move(queue_.extract(queue_.begin()).mapped());
        auto& target = participants_[next.to];
        if (now_.steady < target.paused_until) {
            queue_.emplace(target.paused_until + std::chrono::milliseconds{below(3'000)}, next);
            continue;
        }
        next.deliver(*target.engine);
        observe(target);
    }
    for (auto& one : participants_) {
        if (now_.steady < one.paused_until) {
            continue;
        }
        run_calls(one);
        if (const auto due = one.engine->next_timer(); due && *due <= now_.steady) {
            one.engine->on_timer(now_);
            observe(one);
        }
    }
}

void history_network::run_calls(participant& one) {
    if (gone_.contains(one.upstream)) {
        return;
    }
    for (const auto& [route, rate] : failure_rate_) {
        const row_key row{.route = route, .version = one.upstream};
        const auto part = share_of(one.engine->shares(route), one.upstream).value();
        const auto calls = below(40) * part / full_share.value();
        for (std::size_t call = 0; call < calls; ++call) {
            const bool failed =
                chance(one.upstream == new_version ? std::max(rate, common_failures_) : common_failures_);
            one.engine->record({.row = row, .failed = failed, .latency = std::chrono::milliseconds{10}}, now_);
        }
    }
}

void history_network::observe(participant& one) {
    std::map<rollout_key, rollout_state> current;
    for (const auto& update : one.engine->rollouts()) {
        current[update.key] = update.state;
        const auto before = one.seen.find(update.key);
        if (before != one.seen.end() && !covers(update.state, before->second)) {
            ++shrunk_states_;
        }
    }
    for (const auto& row : one.engine->statuses(now_.wall)) {
        const rollout_key key{.row = row.key, .row_version = row.row_version};
        const auto found = current.find(key);
        if (found == current.end() && one.seen.contains(key)) {
            ++shrunk_states_;
        }
        if (found != current.end() && found->second.rolled_back && row.share > share{}) {
            ++taken_back_got_traffic_;
        }
    }
    one.seen = std::move(current);
}

bool history_network::all_agree() const {
    const auto first = participants_.front().engine->rollouts();
    return std::all_of(participants_.begin(), participants_.end(),
                       [&first](const participant& one) { return one.engine->rollouts() == first; });
}

std::size_t history_network::taken_back_moves() const {
    const auto rollouts = participants_.front().engine->rollouts();
    return static_cast<std::size_t>(std::count_if(rollouts.begin(), rollouts.end(),
                                                  [](const rollout_update& one) { return one.state.rolled_back; }));
}

std::size_t history_network::finished_moves() const {
    const auto rollouts = participants_.front().engine->rollouts();
    return static_cast<std::size_t>(std::count_if(rollouts.begin(), rollouts.end(), [](const rollout_update& one) {
        return one.state.done && !one.state.rolled_back;
    }));
}

std::size_t history_network::rechecked_moves() const {
    const auto rollouts = participants_.front().engine->rollouts();
    return static_cast<std::size_t>(std::count_if(rollouts.begin(), rollouts.end(),
                                                  [](const rollout_update& one) { return one.state.rechecks > 0; }));
}

bool history_network::chance(const double probability) {
    return std::uniform_real_distribution{}(random_) < probability;
}

std::size_t history_network::below(const std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>{0, limit - 1}(random_);
}

} // namespace goldcrestwell::test
