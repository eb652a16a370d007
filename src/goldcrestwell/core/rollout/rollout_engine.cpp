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

// Chosen with bench/rollout_verdicts; docs/rollout.md has the figures.
constexpr double default_alpha = 0.01;

bool is_finished(const rollout_state& state) noexcept {
    return state.done || state.rolled_back;
}

} // namespace

rollout_engine::rollout_engine(rollout_engine_options options)
    : options_{std::move(options)}, random_{options_.seed}, collector_{options_.failures_in_a_row,
                                                                       options_.refuse_for} {
    if (!options_.test) {
        options_.test = make_mixture_test(default_alpha);
    }
}

void rollout_engine::on_plans(const rollout_input& input, const time_sample now) {
    rollout_changes changes{.position = input.position, .plans = input.plans, .recorded = input.recorded};
    std::set<route_name> kept;
    for (const auto& plan : input.plans) {
        kept.insert(plan.route);
    }
    for (const auto& [route, plan] : plans_) {
        if (!kept.contains(route)) {
            changes.removed.push_back(route);
        }
    }
    on_changes(changes, now);
}

void rollout_engine::on_changes(const rollout_changes& changes, const time_sample now) {
    position_ = std::max(position_, changes.position);
    for (const auto& route : changes.removed) {
        plans_.erase(route);
        drop_outdated(route);
        refresh_active(route);
    }
    if (!changes.removed.empty()) {
        collector_.retain([this](const row_key& row) { return find_plan(row.route) != nullptr; });
    }
    for (const auto& plan : changes.plans) {
        replace_plan(plan, now);
    }
    drop_outdated_early();
    for (const auto& fact : changes.recorded) {
        if (in_table(fact.key)) {
            merge(fact.key, fact.state, now);
            auto& recorded = rollouts_.at(fact.key).recorded;
            recorded = join(recorded, fact.state);
        }
    }
    for (const auto& plan : changes.plans) {
        refresh_active(plan.route);
    }
    arm(now);
}

void rollout_engine::replace_plan(const route_plan& plan, const time_sample now) {
    plans_.insert_or_assign(plan.route, plan);
    for (const auto& row : plan.rows) {
        const auto [entry, created] = rollouts_.try_emplace({.row = row.key, .row_version = row.row_version});
        if (created) {
            entry->second.stage_since = now;
        }
    }
    drop_outdated(plan.route);
}

void rollout_engine::drop_outdated(const route_name& route) {
    auto entry = rollouts_.lower_bound({.row = {.route = route, .version = {}}, .row_version = {}});
    while (entry != rollouts_.end() && entry->first.row.route == route) {
        entry = outdated(entry->first) ? rollouts_.erase(entry) : std::next(entry);
    }
}

void rollout_engine::drop_outdated_early() {
    std::erase_if(early_, [this](const rollout_key& key) {
        const bool drop = outdated(key);
        if (drop) {
            rollouts_.erase(key);
        }
        return drop || in_table(key);
    });
}

bool rollout_engine::outdated(const rollout_key& key) const {
    return key.row_version <= position_ && !in_table(key);
}

void rollout_engine::on_update(const rollout_update& update, const time_sample now) {
    if (outdated(update.key) || update.state.stage > last_stage) {
        return;
    }
    if (!in_table(update.key)) {
        early_.insert(update.key);
    }
    if (merge(update.key, update.state, now)) {
        options_.broadcast({.key = update.key, .state = rollouts_.at(update.key).state});
        arm(now);
    }
}

void rollout_engine::on_evidence(const evidence_report& report, const time_sample now) {
    for (const auto& window : report.windows) {
        const auto* plan = find_plan(window.row.route);
        if (plan == nullptr) {
            continue;
        }
        const bool old_version = !is_candidate(*plan, window.row.version);
        for (const auto& row : plan->rows) {
            auto& move = rollouts_.at({.row = row.key, .row_version = row.row_version});
            if (!is_candidate(*plan, row.key.version) || is_finished(move.state)) {
                continue;
            }
            if (old_version) {
                move.evidence.add_baseline(window, now);
            } else if (row.key.version == window.row.version) {
                move.evidence.add_candidate(window, now);
            }
        }
    }
}

void rollout_engine::record(const call_observation& observation, const time_sample now) {
    const auto* plan = find_plan(observation.row.route);
    collector_.record(observation, plan != nullptr && unfinished(*plan), now);
}

bool rollout_engine::refuses(const row_key& row, const time_sample now) {
    const auto* plan = find_plan(row.route);
    if (plan == nullptr || !is_candidate(*plan, row.version) || !unfinished(*plan)) {
        return false;
    }
    return collector_.refuses(row, now);
}

void rollout_engine::on_timer(const time_sample now) {
    if (!next_tick_ || now.steady < *next_tick_) {
        return;
    }
    if (now.steady > *next_tick_ + options_.pause_tolerance) {
        settled_at_ = now.steady + options_.takeover_after;
    }
    next_tick_ = now.steady + options_.tick;
    send_windows(now);
    // A copy, because a decision can change the set.
    for (const auto& route : std::vector<route_name>{active_.begin(), active_.end()}) {
        const auto& plan = plans_.at(route);
        decide_route(plan, now);
        append_facts(plan, now);
        refresh_active(route);
    }
    arm(now);
}

std::vector<version_share> rollout_engine::shares(const route_name& route) const {
    const auto* plan = find_plan(route);
    if (plan == nullptr) {
        return {};
    }
    const auto progress = [this, plan](const upstream_version& version) {
        const auto row = std::find_if(plan->rows.begin(), plan->rows.end(),
                                      [&version](const table_row& entry) { return entry.key.version == version; });
        const auto* move = row == plan->rows.end() ? nullptr : find(*row);
        return move == nullptr ? share{} : this->progress(*plan, *move);
    };
    const auto alive = [this, plan](const upstream_version& version) {
        return options_.has_upstream(plan->service, version);
    };
    auto shares = route_shares(*plan, {.progress = progress, .has_upstream = alive});
    const bool holds = bounded(*plan, shares);
    if (options_.invariants != nullptr) {
        options_.invariants->check(invariant_id::candidate_share_bounded, holds);
    }
    return holds ? shares : plan->base;
}

std::vector<rollout_update> rollout_engine::rollouts() const {
    std::vector<rollout_update> updates;
    for (const auto& [key, move] : rollouts_) {
        if (move.state != rollout_state{}) {
            updates.push_back({.key = key, .state = move.state});
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

bool rollout_engine::in_table(const rollout_key& key) const {
    const auto* plan = find_plan(key.row.route);
    return plan != nullptr && std::any_of(plan->rows.begin(), plan->rows.end(), [&key](const table_row& row) {
               return row.key == key.row && row.row_version == key.row_version;
           });
}

bool rollout_engine::unfinished(const route_plan& plan) const {
    return std::any_of(plan.rows.begin(), plan.rows.end(), [this, &plan](const table_row& row) {
        const auto* move = find(row);
        return move != nullptr && is_candidate(plan, row.key.version) && !is_finished(move->state);
    });
}

bool rollout_engine::unrecorded(const route_plan& plan) const {
    return std::any_of(plan.rows.begin(), plan.rows.end(), [this](const table_row& row) {
        const auto* move = find(row);
        return move != nullptr && !covers(move->recorded, move->state);
    });
}

std::vector<node_id> rollout_engine::ranking(const route_plan& plan) const {
    return rendezvous_order(stable_hash(plan.route.value), options_.service_nodes(plan.service));
}

// Reads the states themselves, so that it does not share a fault with the code that distributes the shares.
bool rollout_engine::bounded(const route_plan& plan, const std::vector<version_share>& shares) const {
    return std::all_of(plan.rows.begin(), plan.rows.end(), [&](const table_row& row) {
        if (!is_candidate(plan, row.key.version)) {
            return true;
        }
        const auto* move = find(row);
        const bool may_grow = move != nullptr && !move->state.rolled_back;
        const auto limit =
            candidate_limit(plan, row.key.version, may_grow ? stage_progress(move->state.stage) : share{});
        return share_of(shares, row.key.version) <= limit;
    });
}

bool rollout_engine::merge(const rollout_key& key, const rollout_state& state, const time_sample now) {
    const auto [entry, created] = rollouts_.try_emplace(key);
    auto& move = entry->second;
    if (created) {
        move.stage_since = now;
    }
    const auto merged = join(move.state, state);
    if (merged == move.state) {
        return false;
    }
    if (merged.stage != move.state.stage) {
        move.stage_since = now;
        move.evidence.start_stage(now);
    }
    const bool recheck = merged.rechecks != move.state.rechecks;
    move.state = merged;
    if (is_finished(merged)) {
        move.recheck_until.reset();
    } else if (recheck) {
        start_recheck(move, now);
    }
    move.ready_since.reset();
    move.append_at.reset();
    move.blocked = row_reason::awaiting_proposer;
    refresh_active(key.row.route);
    return true;
}

void rollout_engine::change(const rollout_key& key, const rollout_state& state, const time_sample now) {
    if (merge(key, state, now)) {
        options_.broadcast({.key = key, .state = rollouts_.at(key).state});
    }
}

void rollout_engine::send_windows(const time_sample now) {
    std::map<node_id, evidence_report> reports;
    for (auto& window : collector_.take()) {
        const auto* plan = find_plan(window.row.route);
        if (plan == nullptr) {
            continue;
        }
        const auto order = ranking(*plan);
        for (size_type rank = 0; rank < std::min<size_type>(order.size(), 2); ++rank) {
            auto& report = reports[order[rank]];
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

void rollout_engine::refresh_active(const route_name& route) {
    const auto* plan = find_plan(route);
    if (plan != nullptr && (unfinished(*plan) || unrecorded(*plan))) {
        active_.insert(route);
    } else {
        active_.erase(route);
    }
}

void rollout_engine::arm(const time_sample now) {
    if (collector_.empty() && active_.empty()) {
        next_tick_.reset();
    } else if (!next_tick_) {
        // A random phase keeps the reports of many nodes from arriving together.
        const auto tick = std::chrono::microseconds{options_.tick}.count();
        next_tick_ = now.steady + std::chrono::microseconds{std::uniform_int_distribution{tick / 2, tick}(random_)};
    }
}

} // namespace goldcrestwell
