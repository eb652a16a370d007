#include "core/rollout/engine_simulation.hpp"

#include "core/rollout/engine_fixture.hpp"
#include "goldcrestwell/core/message/join.hpp"

#include <algorithm>

namespace goldcrestwell::test {

namespace {

constexpr std::size_t node_count = 5;
constexpr std::size_t baseline_nodes = 3;
constexpr auto step_time = std::chrono::milliseconds{500};
constexpr int faulty_steps = 400;
constexpr int healing_steps = 300;

} // namespace

engine_simulation::engine_simulation(const std::uint64_t seed) : random_{seed} {
    for (const auto* name : {"/a", "/b"}) {
        const route_name route{name};
        candidate_failure_rates_[route] = random_chance(0.5) ? 0.3 : 0.0;
        edit_route(route);
    }
    for (std::size_t index = 0; index < node_count; ++index) {
        nodes_.push_back({.engine = std::make_unique<rollout_engine>(options(index)),
                          .upstream = index < baseline_nodes ? baseline_version : candidate_version});
        deliver_snapshot(nodes_.back());
    }
}

rollout_engine_options engine_simulation::options(const std::size_t index) {
    const node_id self{index + 1};
    return {.self = self,
            .seed = random_(),
            .broadcast =
                [this, index](const rollout_update& update) {
                    for (std::size_t to = 0; to < node_count; ++to) {
                        if (to != index) {
                            send(to, [this, update](rollout_engine& engine) { engine.on_update(update, now_); });
                        }
                    }
                },
            .send_evidence =
                [this](const node_id to, const evidence_report& report) {
                    send(to.value() - 1, [this, report](rollout_engine& engine) { engine.on_evidence(report, now_); });
                },
            .append_record = [this](const rollout_record& record) { append(record); },
            .service_nodes =
                [](const service_name&) {
                    std::vector<node_id> nodes;
                    for (std::size_t node = 1; node <= node_count; ++node) {
                        nodes.emplace_back(node);
                    }
                    return nodes;
                },
            .has_upstream = [this](const service_name&,
                                   const upstream_version& version) { return !dead_versions_.contains(version); },
            .invariants = &monitor_};
}

void engine_simulation::send(const std::size_t to, const std::function<void(rollout_engine&)>& deliver) {
    if (network_faulty_ && random_chance(0.2)) {
        return;
    }
    const auto copies = network_faulty_ && random_chance(0.1) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = std::chrono::milliseconds{network_faulty_ ? random_below(3'000) : 0};
        messages_.emplace(now_.steady + delay, delivery{.to = to, .deliver = deliver});
    }
}

void engine_simulation::append(const rollout_record& record) {
    const bool row_exists = std::any_of(plans_.begin(), plans_.end(), [&record](const auto& entry) {
        const auto& rows = entry.second.rows;
        return std::any_of(rows.begin(), rows.end(), [&record](const table_row& row) {
            return row.key == record.key.row && row.row_version == record.key.row_version;
        });
    });
    if (!log_down_ && row_exists) {
        log_head_ = log_offset{log_head_.value() + 1};
        recorded_[record.key] = join(recorded_[record.key], record.state);
    }
}

void engine_simulation::run_with_faults() {
    for (int count = 0; count < faulty_steps; ++count) {
        inject_faults();
        step();
    }
}

void engine_simulation::heal() {
    network_faulty_ = false;
    log_down_ = false;
    dead_versions_.clear();
    for (auto& node : nodes_) {
        node.paused_until = now_.steady;
        deliver_snapshot(node);
    }
    for (int count = 0; count < healing_steps; ++count) {
        step();
        for (std::size_t from = 0; from < node_count; ++from) {
            for (const auto& update : nodes_[from].engine->rollouts()) {
                send((from + 1) % node_count,
                     [this, update](rollout_engine& engine) { engine.on_update(update, now_); });
            }
        }
    }
}

void engine_simulation::inject_faults() {
    if (random_chance(0.02)) {
        nodes_[random_below(node_count)].paused_until = now_.steady + std::chrono::seconds{1 + random_below(30)};
    }
    if (random_chance(0.02)) {
        log_down_ = !log_down_;
    }
    if (random_chance(0.01)) {
        dead_versions_ = random_chance(0.5) ? std::set{random_chance(0.5) ? baseline_version : candidate_version}
                                            : std::set<upstream_version>{};
    }
    if (random_chance(0.003)) {
        edit_route({random_chance(0.5) ? "/a" : "/b"});
    }
    if (random_chance(0.01)) {
        const route_name route{random_chance(0.5) ? "/a" : "/b"};
        candidate_failure_rates_[route] = random_chance(0.5) ? 0.3 : 0.0;
    }
    if (random_chance(0.02)) {
        common_failure_rate_ = random_chance(0.3) ? 0.3 : 0.01;
    }
    for (auto& node : nodes_) {
        if (random_chance(0.1) && now_.steady >= node.paused_until) {
            deliver_snapshot(node);
        }
    }
}

void engine_simulation::edit_route(const route_name& route) {
    log_head_ = log_offset{log_head_.value() + 1};
    const auto policy = random_chance(0.5) ? thin_evidence_policy::proceed : thin_evidence_policy::hold;
    const auto duration = std::chrono::seconds{20 + random_below(100)};
    plans_[route] = make_rollout_plan(route, log_head_, now_.wall, duration, policy);
}

void engine_simulation::deliver_snapshot(simulated_node& node) {
    rollout_input input{.position = log_head_, .plans = {}, .recorded = {}};
    for (const auto& [route, plan] : plans_) {
        input.plans.push_back(plan);
    }
    for (const auto& [key, state] : recorded_) {
        input.recorded.push_back({.key = key, .state = state});
    }
    node.engine->on_snapshot(input, now_);
    check_states(node);
}

void engine_simulation::step() {
    now_.steady += step_time;
    now_.wall += step_time;
    while (!messages_.empty() && messages_.begin()->first <= now_.steady) {
        const auto next = std::move(messages_.extract(messages_.begin()).mapped());
        auto& target = nodes_[next.to];
        if (now_.steady < target.paused_until) {
            messages_.emplace(target.paused_until + std::chrono::milliseconds{random_below(3'000)}, next);
            continue;
        }
        next.deliver(*target.engine);
        check_states(target);
    }
    for (auto& node : nodes_) {
        if (now_.steady < node.paused_until) {
            continue;
        }
        run_calls(node);
        if (const auto due = node.engine->next_timer(); due && *due <= now_.steady) {
            node.engine->on_timer(now_);
            check_states(node);
        }
    }
}

void engine_simulation::run_calls(simulated_node& node) {
    if (dead_versions_.contains(node.upstream)) {
        return;
    }
    for (const auto& [route, rate] : candidate_failure_rates_) {
        const row_key row{.route = route, .version = node.upstream};
        const auto part = share_of(node.engine->shares(route), node.upstream).value();
        const auto calls = random_below(40) * part / full_share.value();
        for (std::size_t call = 0; call < calls; ++call) {
            const bool failed = random_chance(node.upstream == candidate_version ? std::max(rate, common_failure_rate_)
                                                                                 : common_failure_rate_);
            node.engine->record({.row = row, .failed = failed, .latency = std::chrono::milliseconds{10}}, now_);
        }
    }
}

void engine_simulation::check_states(simulated_node& node) {
    std::map<rollout_key, rollout_state> current;
    for (const auto& update : node.engine->rollouts()) {
        current[update.key] = update.state;
        const auto before = node.last_states.find(update.key);
        if (before != node.last_states.end() && !covers(update.state, before->second)) {
            ++shrunk_states_;
        }
    }
    for (const auto& row : node.engine->statuses(now_.wall)) {
        const rollout_key key{.row = row.key, .row_version = row.row_version};
        const auto found = current.find(key);
        if (found == current.end() && node.last_states.contains(key)) {
            ++shrunk_states_;
        }
        if (found != current.end() && found->second.rolled_back && row.share > share{}) {
            ++rolled_back_with_traffic_;
        }
    }
    node.last_states = std::move(current);
}

bool engine_simulation::all_agree() const {
    const auto first = nodes_.front().engine->rollouts();
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [&first](const simulated_node& node) { return node.engine->rollouts() == first; });
}

std::size_t engine_simulation::rolled_back_rollouts() const {
    const auto rollouts = nodes_.front().engine->rollouts();
    return static_cast<std::size_t>(std::count_if(
        rollouts.begin(), rollouts.end(), [](const rollout_update& update) { return update.state.rolled_back; }));
}

std::size_t engine_simulation::finished_rollouts() const {
    const auto rollouts = nodes_.front().engine->rollouts();
    return static_cast<std::size_t>(std::count_if(rollouts.begin(), rollouts.end(), [](const rollout_update& update) {
        return update.state.done && !update.state.rolled_back;
    }));
}

std::size_t engine_simulation::rechecked_rollouts() const {
    const auto rollouts = nodes_.front().engine->rollouts();
    return static_cast<std::size_t>(std::count_if(
        rollouts.begin(), rollouts.end(), [](const rollout_update& update) { return update.state.rechecks > 0; }));
}

bool engine_simulation::random_chance(const double probability) {
    return std::uniform_real_distribution{}(random_) < probability;
}

std::size_t engine_simulation::random_below(const std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>{0, limit - 1}(random_);
}

} // namespace goldcrestwell::test
