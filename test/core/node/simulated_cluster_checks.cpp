// Checks of the simulated cluster: at every hook, some seconds after an event, and at the end of a history.

#include "core/node/simulated_cluster.hpp"

#include <algorithm>

namespace goldcrestwell::test {

using std::chrono::seconds;

namespace {

constexpr seconds max_apply_delay{6};
constexpr seconds max_leaving_delay{3};
/** Time after a start, a pause or a reconnection until a node counts as connected. */
constexpr seconds settling_time{15};
/** Below this share a version gets only the calls that its share allows; see docs/routing.md. */
constexpr std::uint32_t fallback_share = 250'000;

bool precedes(const rollout_update& left, const rollout_update& right) {
    return left.key < right.key;
}

} // namespace

bool simulated_cluster::undisturbed(const size_type index, const steady_time since) const {
    const auto& self = hosts_[index];
    return self.process != nullptr && !network_.partitioned() && self.disturbed_until + settling_time < since;
}

void simulated_cluster::on_event(const size_type index, const node_event& event) {
    if (std::holds_alternative<table_changed>(event)) {
        check_table(index);
        return;
    }
    const auto* verdict = std::get_if<edit_verdict>(&event);
    if (verdict == nullptr || !verdict->accepted() || !accepted_.try_emplace(verdict->offset, time_.now()).second) {
        return;
    }
    ++coverage_.accepted;
    time_.after(max_apply_delay,
                [this, index, at = verdict->offset, since = time_.now()] { check_in_force(index, at, since); });
}

void simulated_cluster::check_version(const size_type index) {
    auto& self = hosts_[index];
    if (self.process == nullptr) {
        return;
    }
    const auto version = self.process->follower().reducer().snapshot()->version();
    checks_.check(invariant_id::version_monotonic, version >= self.version, node_label(index));
    self.version = version;
}

void simulated_cluster::check_table(const size_type index) {
    const auto snapshot = hosts_[index].process->follower().reducer().snapshot();
    const auto* rows = platform_.rows_at(snapshot->version());
    checks_.check(invariant_id::apply_atomic, rows != nullptr && snapshot->rows() == *rows,
                  node_label(index) + " has a table that does not result from the log");
    snapshot->for_each_route([&](const route_state& state) {
        const bool closed =
            std::ranges::all_of(state.rows, [&](const table_row& row) { return row.values.service == state.service; });
        checks_.check(invariant_id::references_closed, closed && !state.rows.empty(), node_label(index));
    });
}

void simulated_cluster::check_attempt(const size_type from, const size_type to, const route_name& route,
                                      const upstream_version& version) {
    auto& self = hosts_[from];
    const auto snapshot = self.process->follower().reducer().snapshot();
    const auto* record = self.process->members().find(hosts_[to].id);
    const bool known = from == to || (record != nullptr && record->upstream && record->upstream->version == version);
    const auto* row = snapshot->find_row({route, version});
    checks_.check(invariant_id::references_closed, row != nullptr && known,
                  node_label(from) + " sends to node " + std::to_string(to));

    const auto current_share = share_of(self.process->rollout().shares(route), version).value();
    auto& usage = self.shares[{{route, version}, row != nullptr ? row->row_version : log_offset{}}];
    if (current_share < fallback_share) {
        ++usage.used;
        // Allows one call for the random phase of the picker and one for the credit saved while the version was
        // unusable.
        checks_.check(invariant_id::candidate_share_bounded, usage.used <= usage.allowed + 2,
                      node_label(from) + " " + route.value + " " + version.value + " " + std::to_string(usage.used) +
                          " of " + std::to_string(usage.allowed));
    } else {
        usage.allowed = std::max(usage.allowed, usage.used);
    }
    const auto service = snapshot->service(route);
    if (version.value == "v2" && service && faults_[*service].is_faulty()) {
        ++coverage_.faulty_version_calls;
        coverage_.faulty_version_calls_after_verdict += current_share == 0 ? 1U : 0U;
    }

    const auto& target = hosts_[to];
    const bool both_informed =
        target.closed_since && undisturbed(from, *target.closed_since) && undisturbed(to, *target.closed_since);
    checks_.check(invariant_id::leaving_gets_no_work,
                  !both_informed || time_.now() <= *target.closed_since + max_leaving_delay,
                  node_label(from) + " sends to node " + std::to_string(to));
}

void simulated_cluster::check_in_force(const size_type deciding_node, const log_offset accepted,
                                       const steady_time since) {
    // If the only node that had read the record failed while the log was down, no other node can know the record.
    const bool log_up = !platform_.down() && platform_.outage_changed() < since;
    if (!log_up && !undisturbed(deciding_node, since)) {
        return;
    }
    for (size_type index = 0; index < size(); ++index) {
        if (undisturbed(index, since)) {
            checks_.check(invariant_id::accepted_in_force, hosts_[index].version >= accepted,
                          node_label(index) + " has " + std::to_string(hosts_[index].version.value()) + ", accepted " +
                              std::to_string(accepted.value()));
        }
    }
}

void simulated_cluster::on_result(const size_type number, const call_result& result) {
    auto& record = calls_[number];
    ++record.results;
    if (const auto* response = std::get_if<http_response>(&result)) {
        ++coverage_.answered;
        checks_.check(invariant_id::answer_matches_call, response->body == std::to_string(number) && record.runs > 0,
                      "call " + std::to_string(number) + " got " + response->body.str());
        return;
    }
    record.refused_as_not_run = std::get<call_refusal>(result).state == run_state::not_run;
    ++(record.refused_as_not_run ? coverage_.not_run : coverage_.unknown);
}

void simulated_cluster::check_end() {
    check_calls();
    check_agreement();
    check_rollouts();
    // A few calls may be in transit when a verdict arrives. One call is always allowed because one per cent of fewer
    // than 100 calls is less than one.
    checks_.check(invariant_id::candidate_share_bounded,
                  coverage_.faulty_version_calls_after_verdict <=
                      std::max<size_type>(1, coverage_.faulty_version_calls / 100),
                  std::to_string(coverage_.faulty_version_calls_after_verdict) + " of " +
                      std::to_string(coverage_.faulty_version_calls) + " calls to faulty versions after the verdict");
    for (const auto& edit : edits_) {
        const bool still_running =
            hosts_[edit.host].start_incarnation == edit.start_incarnation && hosts_[edit.host].process != nullptr;
        checks_.check("edit_answered_once", edit.decisions == 1 || (!still_running && edit.decisions == 0),
                      to_string(edit.id) + " at node " + std::to_string(edit.host));
    }
}

void simulated_cluster::check_calls() {
    for (size_type number = 0; number < calls_.size(); ++number) {
        const auto& record = calls_[number];
        const auto expected = record.cancelled || record.caller_lost ? 0U : 1U;
        checks_.check("one_result_each", record.results == expected,
                      "call " + std::to_string(number) + " got " + std::to_string(record.results));
        checks_.check(invariant_id::refusal_truthful, !record.refused_as_not_run || record.runs == 0,
                      "call " + std::to_string(number));
    }
}

void simulated_cluster::check_agreement() {
    const auto rows = platform_.reference().snapshot()->rows();
    auto rollouts = hosts_[0].process->rollout().rollouts();
    std::ranges::sort(rollouts, precedes);
    for (size_type index = 0; index < size(); ++index) {
        const auto& process = *hosts_[index].process;
        checks_.check("tables_agree", process.follower().reducer().snapshot()->rows() == rows, node_label(index));
        auto own = process.rollout().rollouts();
        std::ranges::sort(own, precedes);
        checks_.check("moves_agree", own == rollouts, node_label(index));
        for (const auto& other : hosts_) {
            const auto* record = process.members().find(other.id);
            checks_.check("members_agree",
                          record != nullptr && record->status == member_status::alive &&
                              record->start_incarnation == other.start_incarnation &&
                              record->upstream == other.upstream->info,
                          node_label(index) + " about " + to_string(other.id));
        }
    }
}

void simulated_cluster::check_rollouts() {
    for (const auto& update : hosts_[0].process->rollout().rollouts()) {
        const auto service = platform_.reference().snapshot()->service(update.key.row.route);
        const bool is_faulty = update.key.row.version.value == "v2" && service && faults_[*service].is_faulty();
        coverage_.rolled_back += update.state.rolled_back ? 1U : 0U;
        coverage_.good_rolled_back += update.state.rolled_back && !is_faulty ? 1U : 0U;
        coverage_.done += update.state.done ? 1U : 0U;
    }
}

void simulated_cluster::edit(const size_type index) {
    const auto edit = random_edit(index);
    const auto number = edits_.size();
    edits_.push_back({.host = index, .start_incarnation = hosts_[index].start_incarnation, .id = edit.id});
    ++coverage_.edits;
    schedule_at(index, {}, [this, edit, number](node& process) {
        process.on_edit(
            edit,
            [this, number](const std::optional<edit_verdict>& verdict) {
                auto& record = edits_[number];
                ++record.decisions;
                checks_.check("verdict_true", !verdict || platform_.reference().verdict(record.id) == verdict,
                              to_string(record.id));
            },
            time_.sample());
    });
}

table_edit simulated_cluster::random_edit(const size_type index) {
    const auto snapshot = hosts_[index].process->follower().reducer().snapshot();
    table_edit edit{.id = {.high = random_(), .low = random_()}, .created_at = time_.sample().wall, .changes = {}};
    const auto& route = test_routes()[random_below(test_routes().size())];
    const auto weight = static_cast<std::uint32_t>(random_below(3) * 50);
    for (const std::string version : {"v1", "v2"}) {
        const row_key key{route.name, {version}};
        const auto* row = snapshot->find_row(key);
        // The first edit of a route gives all traffic to the baseline version.
        const auto new_weight = row == nullptr ? 0U : weight;
        edit.changes.push_back({.key = key,
                                .expected = row == nullptr ? log_offset{} : row->row_version,
                                .values = row_values{.service = route.service,
                                                     .weight = version == "v2" ? new_weight : 100 - new_weight,
                                                     .deadline = edit.created_at + seconds{30 + random_below(30)},
                                                     .limits = {},
                                                     .on_thin_evidence = thin_evidence_policy::proceed}});
    }
    if (random_below(6) == 0) {
        edit.changes.back().values->weight = 5'000; // The weight is out of range, so the edit is rejected as a whole.
    }
    return edit;
}

} // namespace goldcrestwell::test
