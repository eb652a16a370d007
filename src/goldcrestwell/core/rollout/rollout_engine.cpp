#include "goldcrestwell/core/rollout/rollout_engine.hpp"

#include "goldcrestwell/core/common/rendezvous.hpp"
#include "goldcrestwell/core/message/join.hpp"
#include "goldcrestwell/core/rollout/mixture_test.hpp"
#include "goldcrestwell/core/rollout/route_shares.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrestwell {

namespace {

// bench/rollout_verdicts compares this value with others; docs/rollout.md has the figures.
constexpr double default_alpha = 0.01;

bool is_finished(const rollout_state& state) noexcept {
    return state.done || state.rolled_back;
}

} // namespace

rollout_engine::rollout_engine(rollout_engine_options options)
    : options_{std::move(options)}, random_{options_.seed}, collector_{options_.consecutive_failure_limit,
                                                                       options_.refusal_interval} {
    if (!options_.test) {
        options_.test = make_mixture_test(default_alpha);
    }
}

void rollout_engine::on_snapshot(const rollout_input& input, const time_sample now) {
    rollout_changes changes{.position = input.position, .plans = input.plans, .recorded = input.recorded};
    std::set<route_name> kept_routes;
    for (const auto& plan : input.plans) {
        kept_routes.insert(plan.route);
    }
    for (const auto& [route, plan] : plans_) {
        if (!kept_routes.contains(route)) {
            changes.removed.push_back(route);
        }
    }
    on_changes(changes, now);
}

void rollout_engine::on_changes(const rollout_changes& changes, const time_sample now) {
    position_ = std::max(position_, changes.position);
    for (const auto& route : changes.removed) {
        plans_.erase(route);
        drop_stale_states(route);
        update_active_route(route);
    }
    if (!changes.removed.empty()) {
        collector_.retain([this](const row_key& row) { return find_plan(row.route) != nullptr; });
    }
    for (const auto& plan : changes.plans) {
        replace_plan(plan, now);
    }
    drop_stale_early_states();
    for (const auto& update : changes.recorded) {
        if (is_in_table(update.key)) {
            merge(update.key, update.state, now);
            auto& recorded = rollouts_.at(update.key).recorded;
            recorded = join(recorded, update.state);
        }
    }
    for (const auto& plan : changes.plans) {
        update_active_route(plan.route);
    }
    schedule_tick(now);
}

void rollout_engine::replace_plan(const route_plan& plan, const time_sample now) {
    plans_.insert_or_assign(plan.route, plan);
    for (const auto& row : plan.rows) {
        const auto [entry, created] = rollouts_.try_emplace({.row = row.key, .row_version = row.row_version});
        if (created) {
            entry->second.stage_since = now;
        }
    }
    drop_stale_states(plan.route);
}

void rollout_engine::drop_stale_states(const route_name& route) {
    auto entry = rollouts_.lower_bound({.row = {.route = route, .version = {}}, .row_version = {}});
    while (entry != rollouts_.end() && entry->first.row.route == route) {
        entry = is_stale(entry->first) ? rollouts_.erase(entry) : std::next(entry);
    }
}

void rollout_engine::drop_stale_early_states() {
    std::erase_if(early_keys_, [this](const rollout_key& key) {
        const bool drop = is_stale(key);
        if (drop) {
            rollouts_.erase(key);
        }
        return drop || is_in_table(key);
    });
}

bool rollout_engine::is_stale(const rollout_key& key) const {
    return key.row_version <= position_ && !is_in_table(key);
}

void rollout_engine::on_update(const rollout_update& update, const time_sample now) {
    if (is_stale(update.key) || update.state.stage > last_stage) {
        return;
    }
    if (!is_in_table(update.key)) {
        early_keys_.insert(update.key);
    }
    if (merge(update.key, update.state, now)) {
        options_.broadcast({.key = update.key, .state = rollouts_.at(update.key).state});
        schedule_tick(now);
    }
}

void rollout_engine::on_evidence(const evidence_report& report, const time_sample now) {
    for (const auto& window : report.windows) {
        const auto* plan = find_plan(window.row.route);
        if (plan == nullptr) {
            continue;
        }
        const bool is_baseline = !is_candidate(*plan, window.row.version);
        for (const auto& row : plan->rows) {
            auto& rollout = rollouts_.at({.row = row.key, .row_version = row.row_version});
            if (!is_candidate(*plan, row.key.version) || is_finished(rollout.state)) {
                continue;
            }
            if (is_baseline) {
                rollout.evidence.add_baseline(window, now);
            } else if (row.key.version == window.row.version) {
                rollout.evidence.add_candidate(window, now);
            }
        }
    }
}

void rollout_engine::record(const call_observation& observation, const time_sample now) {
    const auto* plan = find_plan(observation.row.route);
    collector_.record(observation, plan != nullptr && has_unfinished_rollout(*plan), now);
}

bool rollout_engine::must_refuse_call(const row_key& row, const time_sample now) {
    const auto* plan = find_plan(row.route);
    if (plan == nullptr || !is_candidate(*plan, row.version) || !has_unfinished_rollout(*plan)) {
        return false;
    }
    return collector_.must_refuse_call(row, now);
}

void rollout_engine::on_timer(const time_sample now) {
    if (!next_tick_ || now.steady < *next_tick_) {
        return;
    }
    if (now.steady > *next_tick_ + options_.pause_tolerance) {
        stages_frozen_until_ = now.steady + options_.takeover_delay;
    }
    next_tick_ = now.steady + options_.tick_interval;
    send_reports(now);
    // Iterates over a copy, because a decision can change the set.
    for (const auto& route : std::vector<route_name>{active_routes_.begin(), active_routes_.end()}) {
        const auto& plan = plans_.at(route);
        decide_route(plan, now);
        append_records(plan, now);
        update_active_route(route);
    }
    schedule_tick(now);
}

std::vector<version_share> rollout_engine::shares(const route_name& route) const {
    const auto* plan = find_plan(route);
    if (plan == nullptr) {
        return {};
    }
    const auto progress = [this, plan](const upstream_version& version) {
        const auto row = std::find_if(plan->rows.begin(), plan->rows.end(),
                                      [&version](const table_row& entry) { return entry.key.version == version; });
        const auto* rollout = row == plan->rows.end() ? nullptr : find(*row);
        return rollout == nullptr ? share{} : this->progress(*plan, *rollout);
    };
    const auto is_alive = [this, plan](const upstream_version& version) {
        return options_.has_upstream(plan->service, version);
    };
    auto shares = route_shares(*plan, {.progress = progress, .has_upstream = is_alive});
    const bool is_bounded = is_within_stage_limits(*plan, shares);
    if (options_.invariants != nullptr) {
        options_.invariants->check(invariant_id::candidate_share_bounded, is_bounded);
    }
    return is_bounded ? shares : plan->base;
}

std::vector<rollout_update> rollout_engine::rollouts() const {
    std::vector<rollout_update> updates;
    for (const auto& [key, rollout] : rollouts_) {
        if (rollout.state != rollout_state{}) {
            updates.push_back({.key = key, .state = rollout.state});
        }
    }
    return updates;
}

const internal::tracked_rollout* rollout_engine::find(const table_row& row) const {
    const auto found = rollouts_.find({.row = row.key, .row_version = row.row_version});
    return found == rollouts_.end() ? nullptr : &found->second;
}

const route_plan* rollout_engine::find_plan(const route_name& route) const {
    const auto found = plans_.find(route);
    return found == plans_.end() ? nullptr : &found->second;
}

bool rollout_engine::is_in_table(const rollout_key& key) const {
    const auto* plan = find_plan(key.row.route);
    return plan != nullptr && std::any_of(plan->rows.begin(), plan->rows.end(), [&key](const table_row& row) {
               return row.key == key.row && row.row_version == key.row_version;
           });
}

bool rollout_engine::has_unfinished_rollout(const route_plan& plan) const {
    return std::any_of(plan.rows.begin(), plan.rows.end(), [this, &plan](const table_row& row) {
        const auto* rollout = find(row);
        return rollout != nullptr && is_candidate(plan, row.key.version) && !is_finished(rollout->state);
    });
}

bool rollout_engine::has_unrecorded_state(const route_plan& plan) const {
    return std::any_of(plan.rows.begin(), plan.rows.end(), [this](const table_row& row) {
        const auto* rollout = find(row);
        return rollout != nullptr && !covers(rollout->recorded, rollout->state);
    });
}

std::vector<node_id> rollout_engine::ranked_nodes(const route_plan& plan) const {
    return rendezvous_order(stable_hash(plan.route.value), options_.service_nodes(plan.service));
}

// Reads the states directly, so that it does not share a fault with the computation of the shares that it checks.
bool rollout_engine::is_within_stage_limits(const route_plan& plan, const std::vector<version_share>& shares) const {
    return std::all_of(plan.rows.begin(), plan.rows.end(), [&](const table_row& row) {
        if (!is_candidate(plan, row.key.version)) {
            return true;
        }
        const auto* rollout = find(row);
        const bool may_grow = rollout != nullptr && !rollout->state.rolled_back;
        const auto limit =
            candidate_limit(plan, row.key.version, may_grow ? stage_progress(rollout->state.stage) : share{});
        return share_of(shares, row.key.version) <= limit;
    });
}

bool rollout_engine::merge(const rollout_key& key, const rollout_state& state, const time_sample now) {
    const auto [entry, created] = rollouts_.try_emplace(key);
    auto& rollout = entry->second;
    if (created) {
        rollout.stage_since = now;
    }
    const auto merged = join(rollout.state, state);
    if (merged == rollout.state) {
        return false;
    }
    if (merged.stage != rollout.state.stage) {
        rollout.stage_since = now;
        rollout.evidence.start_stage(now);
    }
    const bool recheck = merged.rechecks != rollout.state.rechecks;
    rollout.state = merged;
    if (is_finished(merged)) {
        rollout.recheck_until.reset();
    } else if (recheck) {
        start_recheck(rollout, now);
    }
    rollout.ready_since.reset();
    rollout.append_at.reset();
    rollout.blocked_reason = row_reason::awaiting_proposer;
    update_active_route(key.row.route);
    return true;
}

void rollout_engine::merge_and_broadcast(const rollout_key& key, const rollout_state& state, const time_sample now) {
    if (merge(key, state, now)) {
        options_.broadcast({.key = key, .state = rollouts_.at(key).state});
    }
}

void rollout_engine::send_reports(const time_sample now) {
    std::map<node_id, evidence_report> reports;
    for (auto& window : collector_.take_windows()) {
        const auto* plan = find_plan(window.row.route);
        if (plan == nullptr) {
            continue;
        }
        const auto ranked = ranked_nodes(*plan);
        for (size_type rank = 0; rank < std::min<size_type>(ranked.size(), 2); ++rank) {
            auto& report = reports[ranked[rank]];
            report.from = options_.self;
            report.windows.push_back(window);
        }
    }
    for (const auto& [to, report] : reports) {
        if (to == options_.self) {
            on_evidence(report, now);
        } else {
            options_.send_evidence(to, report);
        }
    }
}

void rollout_engine::update_active_route(const route_name& route) {
    const auto* plan = find_plan(route);
    if (plan != nullptr && (has_unfinished_rollout(*plan) || has_unrecorded_state(*plan))) {
        active_routes_.insert(route);
    } else {
        active_routes_.erase(route);
    }
}

void rollout_engine::schedule_tick(const time_sample now) {
    if (collector_.empty() && active_routes_.empty()) {
        next_tick_.reset();
    } else if (!next_tick_) {
        // A random phase prevents the reports of many nodes from arriving at the same time.
        const auto tick = std::chrono::microseconds{options_.tick_interval}.count();
        next_tick_ = now.steady + std::chrono::microseconds{std::uniform_int_distribution{tick / 2, tick}(random_)};
    }
}

} // namespace goldcrestwell
