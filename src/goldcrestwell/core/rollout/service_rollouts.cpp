#include "goldcrestwell/core/rollout/service_rollouts.hpp"

#include "goldcrestwell/core/common/rendezvous.hpp"
#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/core/message/join.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestwell {

namespace {

using std::chrono::milliseconds;

struct stage_plan {
    /** @brief Share of the candidate; the canary stage takes it from the canary schedule instead. */
    share progress;
    /** @brief Fraction of the usable time after which the next stage is due. */
    double due_fraction{};
};

// These values keep the calls of a faulty version over all stages below the permitted number plus a tenth of the calls
// between request and deadline, if a fault is found within a second of its appearance. The canary stage is long enough
// for faults that begin late.
constexpr std::array<stage_plan, 5> stage_plans{
    {{share{0}, 0.0}, {share{0}, 0.56}, {share{250'000}, 0.68}, {share{500'000}, 0.78}, {full_share, 1.0}}};
constexpr std::uint8_t canary_stage = 1;
constexpr std::uint8_t full_stage = stage_plans.size() - 1;
// The canary stage of a version with too few calls for a verdict is longer by this factor.
constexpr double thin_evidence_factor = 1.25;
constexpr service_rollouts::size_type max_coordinators = 3;
constexpr std::uint32_t no_failure_limit = 1'000'000;
// A response of the store may get lost, so the status is recorded again at this interval.
constexpr milliseconds record_retry_interval{1'500};
// Time within which the operator writes a request again that the store lost.
constexpr std::chrono::seconds rewrite_period{10};

bool is_finished(const rollout_state& state) noexcept {
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
    : options_{std::move(options)}, history_{options_.count_upstreams}, canary_schedule_{options_.canary},
      collector_{no_failure_limit, options_.tick_interval} {}

rollout_key service_rollouts::key_of(const service_rollout& rollout) {
    return {.row = {.route = {rollout.request.service.value}, .version = rollout.request.target},
            .row_version = rollout.offset};
}

bool service_rollouts::is_known_state(const service_rollout& rollout, const rollout_key& key) const {
    const auto& version = rollout.request.target;
    return key == key_of(rollout) ||
           (key.row.version == version &&
            history_.is_same_request(rollout.request.service, version, key.row_version, rollout.offset));
}

bool service_rollouts::is_repeated(const service_rollout& rollout, const rollout_request& request,
                                   const log_offset offset, const steady_time now) const {
    if (rollout.request.target != request.target) {
        return false;
    }
    // The operator may write a request again that the copy holds too.
    return era_of(rollout.offset) < era_of(offset) ||
           (rollout.carried_over_at && now < *rollout.carried_over_at + rewrite_period);
}

bool service_rollouts::on_request(const rollout_request& request, const log_offset offset, const time_sample now) {
    const auto found = rollouts_.find(request.service);
    const auto is_known = found != rollouts_.end();
    if (is_known && found->second.offset >= offset) {
        return false;
    }
    const auto is_later_history = !is_known || era_of(found->second.offset) < era_of(offset);
    if (is_later_history && history_.is_superseded(request.service, request.target, offset)) {
        return false;
    }
    if (is_known && is_repeated(found->second, request, offset, now.steady)) {
        change_offset(found->second, offset, now);
    } else {
        add_rollout(request, offset, now);
    }
    schedule_tick(now);
    return true;
}

void service_rollouts::change_offset(service_rollout& rollout, const log_offset offset, const time_sample now) {
    if (era_of(rollout.offset) < era_of(offset)) {
        rollout.carried_over_at = now.steady;
    }
    rollout.offset = offset;
    history_.add_offset(rollout.request.service, rollout.request.target, offset);
    history_.on_finished({.key = key_of(rollout), .state = rollout.state});
    merge_early_states(rollout, now);
    // Nodes that know the later offset may not have seen what was decided under the earlier one.
    if (rollout.state != rollout_state{}) {
        options_.broadcast({.key = key_of(rollout), .state = rollout.state});
    }
}

void service_rollouts::add_rollout(const rollout_request& request, const log_offset offset, const time_sample now) {
    service_rollout added{.request = request, .offset = offset, .received_at = now, .stage_since = now.steady};
    added.tally = rollout_tally{options_.tally_limits};
    history_.on_requested(request.service, request.target, offset);
    auto& rollout = rollouts_.insert_or_assign(request.service, std::move(added)).first->second;
    merge_early_states(rollout, now);
}

void service_rollouts::merge_early_states(service_rollout& rollout, const time_sample now) {
    std::erase_if(early_states_, [this, &rollout, now](const auto& item) {
        const auto& [key, state] = item;
        if (key.row.route.value != rollout.request.service.value || key.row_version > rollout.offset) {
            return false;
        }
        if (is_known_state(rollout, key)) {
            merge(rollout, state, now);
        } else {
            history_.on_finished({.key = key, .state = state});
        }
        return true;
    });
}

void service_rollouts::on_recorded(const rollout_status& status, const time_sample now) {
    const auto found = rollouts_.find(status.service);
    if (found == rollouts_.end() || found->second.request.target != status.target) {
        return;
    }
    auto& rollout = found->second;
    rollout.recorded_phase = status.phase;
    auto state = rollout.state;
    state.done = state.done || status.phase == rollout_phase::completed;
    state.rolled_back = status.phase == rollout_phase::rolled_back;
    merge_and_broadcast(rollout, state, now);
}

void service_rollouts::on_history_replaced(const time_sample now) {
    for (auto& [service, rollout] : rollouts_) {
        rollout.recorded_phase.reset();
        rollout.next_record_at.reset();
    }
    schedule_tick(now);
}

void service_rollouts::on_update(const rollout_update& update, const time_sample now) {
    const service_name service{update.key.row.route.value};
    history_.add_offset(service, update.key.row.version, update.key.row_version);
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.offset < update.key.row_version) {
        auto& state = early_states_[update.key];
        state = join(state, update.state);
        return;
    }
    if (is_known_state(found->second, update.key)) {
        merge_and_broadcast(found->second, update.state, now);
    } else {
        history_.on_finished(update);
    }
}

void service_rollouts::on_evidence(const evidence_report& report, const time_sample now) {
    const auto found = rollouts_.find(options_.service_of(report.from));
    if (found == rollouts_.end() || is_finished(found->second.state)) {
        return;
    }
    for (const auto& window : report.windows) {
        found->second.tally.add(report.from, window, window.row.version == found->second.request.target);
    }
    decide(found->second, now);
}

void service_rollouts::record(const service_name& service, const call_observation& observation, const time_sample now) {
    const auto found = rollouts_.find(service);
    // A lost connection points to a fault of the host rather than the version; a finished rollout needs no evidence.
    if (found == rollouts_.end() || is_finished(found->second.state) || observation.connection_lost) {
        return;
    }
    collector_.record(observation, true, now);
    schedule_tick(now);
}

void service_rollouts::on_upstream(const service_name& service, const upstream_version& version,
                                   const time_sample now) {
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.request.target != version) {
        history_.on_live_upstream(service, version, now.steady);
    }
}

void service_rollouts::on_timer(const time_sample now) {
    if (!next_tick_ || now.steady < *next_tick_) {
        return;
    }
    next_tick_.reset();
    send_reports(now);
    for (auto& [service, rollout] : rollouts_) {
        decide(rollout, now);
    }
    schedule_tick(now);
}

upstream_counts service_rollouts::count_upstreams(const service_rollout& rollout) const {
    const auto& service = rollout.request.service;
    const auto current = history_.current_version(service);
    return {.candidates = options_.count_upstreams(service, rollout.request.target),
            .current = current ? options_.count_upstreams(service, *current) : 0};
}

share service_rollouts::progress(const service_rollout& rollout, const steady_time now) const {
    return rollout.state.stage == canary_stage
               ? canary_schedule_.share_at(now - rollout.received_at.steady, count_upstreams(rollout))
               : stage_plans[std::min(rollout.state.stage, full_stage)].progress;
}

std::vector<version_share> service_rollouts::shares(const service_name& service, const steady_time now) const {
    const auto current = history_.current_version(service);
    const auto found = rollouts_.find(service);
    const auto moving = found != rollouts_.end() && !is_finished(found->second.state);
    if (!moving || current == found->second.request.target) {
        return current ? std::vector<version_share>{{*current, full_share}} : std::vector<version_share>{};
    }
    const auto candidate_progress = progress(found->second, now);
    std::vector<version_share> result{{found->second.request.target, candidate_progress}};
    if (current && candidate_progress < full_share) {
        result.push_back({*current, share{full_share.value() - candidate_progress.value()}});
    }
    return result;
}

std::optional<canary_group> service_rollouts::active_canary_group(const service_name& service,
                                                                  const upstream_version& version,
                                                                  const steady_time now) const {
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.request.target != version || is_finished(found->second.state) ||
        found->second.state.stage > canary_stage) {
        return std::nullopt;
    }
    return canary_schedule_.group_at(now - found->second.received_at.steady, count_upstreams(found->second));
}

std::vector<rollout_update> service_rollouts::rollouts() const {
    auto result = history_.finished_rollouts();
    for (const auto& [service, rollout] : rollouts_) {
        if (rollout.state != rollout_state{} && !is_finished(rollout.state)) {
            result.push_back({.key = key_of(rollout), .state = rollout.state});
        }
    }
    return result;
}

bool service_rollouts::has_unknown_state() const {
    return std::ranges::any_of(rollouts_, [](const auto& item) {
        return item.second.state == rollout_state{} && !item.second.recorded_phase;
    });
}

std::vector<node_id> service_rollouts::coordinators(const service_name& service) const {
    auto ranked = rendezvous_order(stable_hash(service.value), options_.nodes());
    ranked.resize(std::min(ranked.size(), max_coordinators));
    return ranked;
}

std::optional<service_rollouts::size_type> service_rollouts::own_rank(const service_name& service) const {
    const auto ranked = coordinators(service);
    const auto own = std::ranges::find(ranked, options_.self);
    return own == ranked.end() ? std::nullopt : std::optional{static_cast<size_type>(own - ranked.begin())};
}

void service_rollouts::send_reports(const time_sample now) {
    const auto windows = collector_.take_windows();
    if (windows.empty()) {
        return;
    }
    const evidence_report report{.from = options_.self, .windows = windows};
    for (const auto node : coordinators(options_.service_of(options_.self))) {
        if (node == options_.self) {
            on_evidence(report, now);
        } else {
            options_.send_evidence(node, report);
        }
    }
}

void service_rollouts::decide(service_rollout& rollout, const time_sample now) {
    const auto rank = own_rank(rollout.request.service);
    if (!rank) {
        return;
    }
    if (!is_finished(rollout.state)) {
        auto next = rollout.state;
        const auto upstreams = options_.count_upstreams(rollout.request.service, rollout.request.target);
        if (const auto reason = rollout.tally.find_fault(upstreams)) {
            next.rolled_back = true;
            next.reason = *reason;
            merge_and_broadcast(rollout, next, now);
        } else if (is_advance_due(rollout, *rank, now)) {
            next.done = next.stage >= full_stage;
            next.stage = std::min<std::uint8_t>(next.stage + 1, full_stage);
            merge_and_broadcast(rollout, next, now);
        }
    }
    record_phase(rollout, *rank, now);
}

bool service_rollouts::is_advance_due(const service_rollout& rollout, const size_type rank,
                                      const time_sample now) const {
    if (options_.count_upstreams(rollout.request.service, rollout.request.target) == 0) {
        return false;
    }
    const auto takeover_delay = options_.takeover_delay * static_cast<milliseconds::rep>(rank);
    const auto elapsed = now.steady - rollout.received_at.steady - takeover_delay;
    const std::chrono::duration<double, std::milli> usable_time =
        std::max(rollout.request.duration - options_.deadline_margin, rollout.request.duration / 2);
    const auto stage = std::min(rollout.state.stage, full_stage);
    const auto lacks_calls = stage == canary_stage && rollout.tally.candidate_calls() < options_.min_calls;
    return elapsed >= usable_time * stage_plans[stage].due_fraction * (lacks_calls ? thin_evidence_factor : 1.0);
}

// The first coordinator records every phase. The others record only the end, and
// only if it has not been read back after a delay.
void service_rollouts::record_phase(service_rollout& rollout, const size_type rank, const time_sample now) {
    const auto phase = phase_of(rollout.state);
    const auto has_started = rollout.state != rollout_state{};
    const auto is_settled = rollout.recorded_phase == phase ||
                            (rollout.recorded_phase && *rollout.recorded_phase != rollout_phase::running);
    if (!has_started || is_settled || (rank != 0 && phase == rollout_phase::running)) {
        return;
    }
    if (!rollout.next_record_at) {
        rollout.next_record_at = now.steady + record_retry_interval * static_cast<milliseconds::rep>(rank);
    }
    if (now.steady >= *rollout.next_record_at) {
        rollout.next_record_at = now.steady + record_retry_interval;
        options_.record_status({.service = rollout.request.service, .target = rollout.request.target, .phase = phase});
    }
}

void service_rollouts::merge_and_broadcast(service_rollout& rollout, const rollout_state& state,
                                           const time_sample now) {
    if (merge(rollout, state, now)) {
        options_.broadcast({.key = key_of(rollout), .state = rollout.state});
    }
}

bool service_rollouts::merge(service_rollout& rollout, const rollout_state& state, const time_sample now) {
    const auto merged = join(rollout.state, state);
    if (merged == rollout.state) {
        return false;
    }
    if (merged.stage != rollout.state.stage) {
        rollout.stage_since = now.steady;
    }
    if (phase_of(merged) != phase_of(rollout.state)) {
        rollout.next_record_at.reset();
    }
    rollout.state = merged;
    history_.on_finished({.key = key_of(rollout), .state = rollout.state});
    schedule_tick(now);
    return true;
}

void service_rollouts::schedule_tick(const time_sample now) {
    const auto busy = std::ranges::any_of(rollouts_, [this](const auto& item) {
        const auto& rollout = item.second;
        const auto unrecorded = !rollout.recorded_phase || *rollout.recorded_phase == rollout_phase::running;
        return !is_finished(rollout.state) || (unrecorded && own_rank(item.first));
    });
    if (!busy && collector_.empty()) {
        next_tick_.reset();
    } else if (!next_tick_) {
        next_tick_ = now.steady + options_.tick_interval;
    }
}

} // namespace goldcrestwell
