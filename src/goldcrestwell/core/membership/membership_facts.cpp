#include "goldcrestwell/core/membership/member_order.hpp"
#include "goldcrestwell/core/membership/membership_state.hpp"

#include <algorithm>

namespace goldcrestwell::internal {

bool membership_state::learn(const member& record, const source from) {
    if (record.id == self_) {
        hear_about_self(record);
        return false;
    }
    const auto* known = table_.find(record.id);
    // A peer may keep a tombstone for longer; taking it over again would keep it in the system for ever.
    if (known == nullptr && from == source::exchange && is_tombstone(record.status)) {
        return false;
    }
    const auto had_upstream = known != nullptr && known->upstream && known->status == member_status::alive;
    const auto news = table_.apply(record, now_);
    if (from == source::exchange) {
        ++counts_.sync_records;
        counts_.sync_repeats += news ? 0U : 1U;
        return news;
    }
    ++counts_.gossip_records;
    counts_.gossip_repeats += news ? 0U : 1U;
    const auto& newest = *table_.find(record.id);
    if (!news) {
        if (newest.incarnation == record.incarnation && newest.status == record.status) {
            queue_.count_heard(record.id, retransmit_limit());
        }
        return false;
    }
    spread(newest, newest.status == member_status::leaving || (had_upstream && !newest.upstream));
    return true;
}

void membership_state::hear_about_self(const member& record) {
    const auto own = self();
    if (!supersedes(record, own) || own.status == member_status::left) {
        return;
    }
    ++counts_.refutations;
    refuted_ = true;
    auto raised = own;
    raised.incarnation = incarnation{record.incarnation.value() + 1};
    table_.apply(raised, now_);
    spread(raised, raised.status == member_status::leaving);
}

void membership_state::table_changed(const member* before, const member* after) {
    if (after != nullptr) {
        index_.update(before, *after);
        track_peer(*after);
    } else {
        index_.erase(*before);
    }
    regions_.update(before, after);
    if (before != nullptr) {
        track_region(before->region);
    }
    if (after == nullptr) {
        return;
    }
    track_region(after->region);
    if (options_.invariants != nullptr && after->status != member_status::alive && after->upstream) {
        options_.invariants->check(invariant_id::leaving_gets_no_work, !index_.lists(after->id, *after->upstream));
    }
    if (started_ && options_.member_changed) {
        options_.member_changed(*after);
    }
}

void membership_state::track_peer(const member& record) {
    if (record.id == self_) {
        return;
    }
    if (is_tombstone(record.status)) {
        peers_.erase(record.id);
        push_targets_.erase(record.id);
        suspicions_.cancel(record.id);
        return;
    }
    if (started_ && peers_.empty()) {
        sync_.catch_up(now_);
    }
    peers_.insert(record.id);
    push_targets_.insert(record.id);
    if (record.status == member_status::suspect) {
        suspicions_.start({.id = record.id, .generation = record.incarnation}, now_ + suspicion_timeout());
    } else {
        suspicions_.cancel(record.id);
    }
}

void membership_state::track_region(const region& name) {
    if (!regions_.evaluate(name, now_)) {
        return;
    }
    if (!regions_.reachable(name)) {
        ++counts_.cuts;
        return;
    }
    // Members that have not refuted their suspicion yet get the whole time-out to do so.
    suspicions_.restart_all(now_ + suspicion_timeout());
    sync_.catch_up(now_);
}

void membership_state::probe_failed(const node_id target) {
    ++counts_.failed_probes;
    const auto* known = table_.find(target);
    if (known == nullptr) {
        return;
    }
    if (known->status == member_status::leaving) {
        // Leaving outranks suspect, so the suspicion is kept here only.
        suspicions_.start({.id = target, .generation = known->incarnation}, now_ + suspicion_timeout());
        return;
    }
    if (known->status != member_status::alive) {
        return;
    }
    ++counts_.suspicions;
    auto suspected = *known;
    suspected.status = member_status::suspect;
    table_.apply(suspected, now_);
    spread(suspected, false);
}

void membership_state::expire_suspicions() {
    while (const auto due = suspicions_.take_due(now_)) {
        const auto* known = table_.find(due->id);
        if (known == nullptr || known->incarnation != due->generation || known->status == member_status::alive) {
            continue;
        }
        const auto cut = regions_.cut_since(known->region);
        if (cut && now_ < *cut + options_.timing.cut_hold) {
            suspicions_.start(*due, now_ + suspicion_timeout());
            continue;
        }
        ++counts_.deaths;
        auto dead = *known;
        dead.status = member_status::dead;
        table_.apply(dead, now_);
        spread(dead, false);
    }
}

void membership_state::receive_rollout(const rollout_update& update) {
    if (!rollouts_.merge(update)) {
        return;
    }
    spread(update, update.state.rolled_back);
    if (options_.rollout_received) {
        options_.rollout_received(update);
    }
}

std::vector<node_id> membership_state::lost_members() const {
    std::vector<node_id> lost;
    for (const auto& [id, record] : table_.members()) {
        if (record.status == member_status::dead) {
            lost.push_back(id);
        }
    }
    std::copy_if(options_.seeds.begin(), options_.seeds.end(), std::back_inserter(lost),
                 [this](const node_id id) { return table_.find(id) == nullptr; });
    return lost;
}

bool membership_state::withheld(const member& record) const {
    return record.status == member_status::suspect && !regions_.reachable(record.region);
}

} // namespace goldcrestwell::internal
