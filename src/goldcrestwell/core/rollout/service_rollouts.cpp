#include "goldcrestwell/core/rollout/service_rollouts.hpp"

#include "goldcrestwell/core/common/rendezvous.hpp"
#include "goldcrestwell/core/message/join.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestwell {

namespace {

using std::chrono::milliseconds;

/** @brief Share of the new version at a stage and the part of the usable time after which the next one is due; the
 *  share on trial follows its own schedule. */
struct stage_plan {
    share progress;
    double ends{};
};

// The sum over all stages stays below a tenth of the calls between order and deadline plus what a faulty version may
// get, if a fault is found within a second of showing. The trial is long enough for faults that begin late.
constexpr std::array<stage_plan, 5> stages{
    {{share{0}, 0.0}, {share{0}, 0.56}, {share{250'000}, 0.68}, {share{500'000}, 0.78}, {full_share, 1.0}}};
constexpr std::uint8_t trial_stage = 1;
constexpr std::uint8_t full_stage = stages.size() - 1;
// Of the trial's time; by then a version that could not be judged for lack of calls goes on.
constexpr double thin_evidence_part = 1.25;
constexpr service_rollouts::size_type deciding_ranks = 3;
constexpr std::uint32_t no_run_limit = 1'000'000;
// The store may lose an answer; the record is asked for again after this time.
constexpr milliseconds record_again{1'500};

bool finished(const rollout_state& state) noexcept {
    return state.done || state.rolled_back;
}

rollout_phase phase_of(const rollout_state& state) noexcept {
    if (state.rolled_back) {
        return rollout_phase::rolled_back;
    }
    return state.done ? rollout_phase::completed : rollout_phase::running;
}

} // namespace

service_rollouts::service_rollouts(service_rollout_options options)
    : options_{std::move(options)}, history_{options_.upstreams}, trial_{options_.trial}, collector_{no_run_limit,
                                                                                                     options_.tick} {}

rollout_key service_rollouts::key_of(const service_move& move) {
    return {.row = {.route = {move.order.service.value}, .version = move.order.target}, .row_version = move.at};
}

void service_rollouts::on_order(const rollout_request& order, const log_offset at, const time_sample now) {
    const auto found = rollouts_.find(order.service);
    if (found != rollouts_.end() && found->second.at >= at) {
        return;
    }
    service_move move{.order = order, .at = at, .learned = now, .stage_since = now.steady};
    move.tally = rollout_tally{options_.limits};
    history_.on_ordered(order.service, order.target, at);
    auto& placed = rollouts_.insert_or_assign(order.service, std::move(move)).first->second;
    if (const auto early = early_.extract(key_of(placed)); !early.empty()) {
        merge(placed, early.mapped(), now);
    }
    std::erase_if(early_, [this, &order, at](const auto& item) {
        const auto earlier = item.first.row.route.value == order.service.value && item.first.row_version <= at;
        if (earlier) {
            history_.on_finished({.key = item.first, .state = item.second});
        }
        return earlier;
    });
    arm(now);
}

void service_rollouts::on_recorded(const rollout_status& status, const time_sample now) {
    const auto found = rollouts_.find(status.service);
    if (found == rollouts_.end() || found->second.order.target != status.target) {
        return;
    }
    auto& move = found->second;
    move.recorded = status.phase;
    auto state = move.state;
    state.done = state.done || status.phase == rollout_phase::completed;
    state.rolled_back = status.phase == rollout_phase::rolled_back;
    change(move, state, now);
}

void service_rollouts::on_update(const rollout_update& update, const time_sample now) {
    const service_name service{update.key.row.route.value};
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.at < update.key.row_version) {
        auto& early = early_[update.key];
        early = join(early, update.state);
        return;
    }
    if (key_of(found->second) == update.key) {
        change(found->second, update.state, now);
    } else {
        history_.on_finished(update);
    }
}

void service_rollouts::on_evidence(const evidence_report& report, const time_sample now) {
    const auto found = rollouts_.find(options_.service_of(report.from));
    if (found == rollouts_.end() || finished(found->second.state)) {
        return;
    }
    for (const auto& window : report.windows) {
        found->second.tally.add(report.from, window, window.row.version == found->second.order.target);
    }
    decide(found->second, now);
}

void service_rollouts::record(const service_name& service, const call_observation& observation, const time_sample now) {
    const auto found = rollouts_.find(service);
    // A lost connection speaks against the host, and a withdrawn or finished move needs no evidence.
    if (found == rollouts_.end() || finished(found->second.state) || observation.connection_lost) {
        return;
    }
    collector_.record(observation, true, now);
    arm(now);
}

void service_rollouts::on_upstream(const service_name& service, const upstream_version& version,
                                   const time_sample now) {
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.target != version) {
        history_.on_seen(service, version, now.steady);
    }
}

void service_rollouts::on_timer(const time_sample now) {
    if (!next_tick_ || now.steady < *next_tick_) {
        return;
    }
    next_tick_.reset();
    send_windows(now);
    for (auto& [service, move] : rollouts_) {
        decide(move, now);
    }
    arm(now);
}

trial_population service_rollouts::population(const service_move& move) const {
    const auto& service = move.order.service;
    const auto current = history_.in_use(service);
    return {.candidates = options_.upstreams(service, move.order.target),
            .current = current ? options_.upstreams(service, *current) : 0};
}

share service_rollouts::progress(const service_move& move, const steady_time now) const {
    if (move.state.done) {
        return full_share;
    }
    return move.state.stage == trial_stage ? trial_.share_at(now - move.learned.steady, population(move))
                                           : stages[std::min(move.state.stage, full_stage)].progress;
}

std::vector<version_share> service_rollouts::shares(const service_name& service, const steady_time now) const {
    const auto current = history_.in_use(service);
    const auto found = rollouts_.find(service);
    const auto moving = found != rollouts_.end() && !found->second.state.rolled_back;
    if (!moving || current == found->second.order.target) {
        return current ? std::vector<version_share>{{*current, full_share}} : std::vector<version_share>{};
    }
    const auto reached = progress(found->second, now);
    std::vector<version_share> result{{found->second.order.target, reached}};
    if (current && reached < full_share) {
        result.push_back({*current, share{full_share.value() - reached.value()}});
    }
    return result;
}

std::optional<trial_turn> service_rollouts::trial(const service_name& service, const upstream_version& version,
                                                  const steady_time now) const {
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.target != version || finished(found->second.state) ||
        found->second.state.stage > trial_stage) {
        return std::nullopt;
    }
    return trial_.turn_at(now - found->second.learned.steady, population(found->second));
}

std::vector<rollout_update> service_rollouts::rollouts() const {
    auto result = history_.finished();
    for (const auto& [service, move] : rollouts_) {
        if (move.state != rollout_state{} && !finished(move.state)) {
            result.push_back({.key = key_of(move), .state = move.state});
        }
    }
    return result;
}

std::vector<node_id> service_rollouts::deciders(const service_name& service) const {
    auto order = rendezvous_order(stable_hash(service.value), options_.nodes());
    order.resize(std::min(order.size(), deciding_ranks));
    return order;
}

std::optional<service_rollouts::size_type> service_rollouts::rank(const service_name& service) const {
    const auto order = deciders(service);
    const auto own = std::ranges::find(order, options_.self);
    return own == order.end() ? std::nullopt : std::optional{static_cast<size_type>(own - order.begin())};
}

void service_rollouts::send_windows(const time_sample now) {
    const auto windows = collector_.take();
    if (windows.empty()) {
        return;
    }
    const evidence_report report{.from = options_.self, .windows = windows};
    for (const auto node : deciders(options_.service_of(options_.self))) {
        if (node == options_.self) {
            on_evidence(report, now);
        } else {
            options_.send_evidence(node, report);
        }
    }
}

void service_rollouts::decide(service_move& move, const time_sample now) {
    const auto own_rank = rank(move.order.service);
    if (!own_rank) {
        return;
    }
    if (!finished(move.state)) {
        auto next = move.state;
        const auto upstreams = options_.upstreams(move.order.service, move.order.target);
        if (const auto reason = move.tally.fault(upstreams)) {
            next.rolled_back = true;
            next.reason = *reason;
            change(move, next, now);
        } else if (raise_due(move, *own_rank, now)) {
            next.done = next.stage >= full_stage;
            next.stage = std::min<std::uint8_t>(next.stage + 1, full_stage);
            change(move, next, now);
        }
    }
    record_phase(move, *own_rank, now);
}

bool service_rollouts::raise_due(const service_move& move, const size_type own_rank, const time_sample now) const {
    if (options_.upstreams(move.order.service, move.order.target) == 0) {
        return false;
    }
    const auto late = options_.takeover_after * static_cast<milliseconds::rep>(own_rank);
    const auto elapsed = now.steady - move.learned.steady - late;
    const std::chrono::duration<double, std::milli> usable =
        std::max(move.order.duration - options_.margin, move.order.duration / 2);
    const auto stage = std::min(move.state.stage, full_stage);
    const auto thin = stage == trial_stage && move.tally.candidate_calls() < options_.least_calls;
    return elapsed >= usable * stages[stage].ends * (thin ? thin_evidence_part : 1.0);
}

// Every state is recorded by the first rank; the others look after it if the record has not been read back by then.
void service_rollouts::record_phase(service_move& move, const size_type own_rank, const time_sample now) {
    const auto phase = phase_of(move.state);
    const auto begun = move.state != rollout_state{};
    const auto settled = move.recorded == phase || (move.recorded && *move.recorded != rollout_phase::running);
    if (!begun || settled || (own_rank != 0 && phase == rollout_phase::running)) {
        return;
    }
    if (!move.record_at) {
        move.record_at = now.steady + record_again * static_cast<milliseconds::rep>(own_rank);
    }
    if (now.steady >= *move.record_at) {
        move.record_at = now.steady + record_again;
        options_.record_status({.service = move.order.service, .target = move.order.target, .phase = phase});
    }
}

void service_rollouts::change(service_move& move, const rollout_state& state, const time_sample now) {
    if (merge(move, state, now)) {
        options_.broadcast({.key = key_of(move), .state = move.state});
    }
}

bool service_rollouts::merge(service_move& move, const rollout_state& state, const time_sample now) {
    const auto merged = join(move.state, state);
    if (merged == move.state) {
        return false;
    }
    if (merged.stage != move.state.stage) {
        move.stage_since = now.steady;
    }
    if (phase_of(merged) != phase_of(move.state)) {
        move.record_at.reset();
    }
    move.state = merged;
    history_.on_finished({.key = key_of(move), .state = move.state});
    arm(now);
    return true;
}

void service_rollouts::arm(const time_sample now) {
    const auto busy = std::ranges::any_of(rollouts_, [this](const auto& item) {
        const auto& move = item.second;
        const auto unrecorded = !move.recorded || *move.recorded == rollout_phase::running;
        return !finished(move.state) || (unrecorded && rank(item.first));
    });
    if (!busy && collector_.empty()) {
        next_tick_.reset();
    } else if (!next_tick_) {
        next_tick_ = now.steady + options_.tick;
    }
}

} // namespace goldcrestwell
