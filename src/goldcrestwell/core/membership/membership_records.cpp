#include "goldcrestwell/core/membership/member_order.hpp"
#include "goldcrestwell/core/membership/membership_state.hpp"

#include <algorithm>

namespace goldcrestwell::internal {

bool membership_state::apply_record(const member& record, const source from) {
    if (record.id == self_) {
        refute(record);
        return false;
    }
    const auto* known = table_.find(record.id);
    // A peer may keep a tombstone for longer; accepting it again would keep it in the cluster for ever.
    if (known == nullptr && from == source::exchange && is_tombstone(record.status)) {
        return false;
    }
    const auto had_upstream = known != nullptr && known->upstream && known->status == member_status::alive;
    const auto changed = table_.apply(record, now_);
    if (from == source::exchange) {
        ++counts_.sync_records;
        counts_.sync_repeats += changed ? 0U : 1U;
        return changed;
    }
    ++counts_.gossip_records;
    counts_.gossip_repeats += changed ? 0U : 1U;
    const auto& newest = *table_.find(record.id);
    if (!changed) {
        if (newest.incarnation == record.incarnation && newest.status == record.status) {
            queue_.count_received(record.id, max_transmissions());
        }
        return false;
    }
    enqueue(newest, newest.status == member_status::leaving || (had_upstream && !newest.upstream));
    return true;
}

void membership_state::refute(const member& record) {
    const auto own = self();
    if (!supersedes(record, own) || own.status == member_status::left) {
        return;
    }
    ++counts_.refutations;
    refuted_in_datagram_ = true;
    auto refutation = own;
    refutation.incarnation = incarnation{record.incarnation.value() + 1};
    table_.apply(refutation, now_);
    enqueue(refutation, refutation.status == member_status::leaving);
}

void membership_state::table_changed(const member* before, const member* after) {
    if (after != nullptr) {
        upstream_index_.update(before, *after);
        track_peer(*after);
    } else {
        upstream_index_.erase(*before);
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
        options_.invariants->check(invariant_id::leaving_gets_no_work,
                                   !upstream_index_.contains(after->id, *after->upstream));
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
        anti_entropy_.catch_up(now_);
    }
    peers_.insert(record.id);
    push_targets_.insert(record.id);
    if (record.status == member_status::suspect) {
        suspicions_.start({.id = record.id, .member_incarnation = record.incarnation}, now_ + suspicion_timeout());
    } else {
        suspicions_.cancel(record.id);
    }
}

void membership_state::track_region(const region& name) {
    if (!regions_.evaluate(name, now_)) {
        return;
    }
    if (!regions_.reachable(name)) {
        ++counts_.partitions;
        return;
    }
    // Suspects could not refute during the partition, so they get the full time-out again.
    suspicions_.restart_all(now_ + suspicion_timeout());
    anti_entropy_.catch_up(now_);
}

void membership_state::probe_failed(const node_id target) {
    ++counts_.failed_probes;
    const auto* known = table_.find(target);
    if (known == nullptr) {
        return;
    }
    if (known->status == member_status::leaving) {
        // `leaving` supersedes `suspect`, so the suspicion is not gossiped and only kept locally.
        suspicions_.start({.id = target, .member_incarnation = known->incarnation}, now_ + suspicion_timeout());
        return;
    }
    if (known->status != member_status::alive) {
        return;
    }
    ++counts_.suspicions;
    auto suspected = *known;
    suspected.status = member_status::suspect;
    table_.apply(suspected, now_);
    enqueue(suspected, false);
}

void membership_state::expire_suspicions() {
    while (const auto expired = suspicions_.take_expired(now_)) {
        const auto* known = table_.find(expired->id);
        if (known == nullptr || known->incarnation != expired->member_incarnation ||
            known->status == member_status::alive) {
            continue;
        }
        const auto partition_start = regions_.unreachable_since(known->region);
        if (partition_start && now_ < *partition_start + options_.timing.max_partition_hold) {
            suspicions_.start(*expired, now_ + suspicion_timeout());
            continue;
        }
        ++counts_.deaths;
        auto dead = *known;
        dead.status = member_status::dead;
        table_.apply(dead, now_);
        enqueue(dead, false);
    }
}

void membership_state::receive_rollout(const rollout_update& update) {
    if (!rollouts_.merge(update)) {
        return;
    }
    enqueue(update, update.state.rolled_back);
    if (options_.rollout_received) {
        options_.rollout_received(update);
    }
}

std::vector<node_id> membership_state::reconnect_targets() const {
    std::vector<node_id> targets;
    for (const auto& [id, record] : table_.members()) {
        // A node that left may be back and know nobody, for example because the store refuses it.
        if (is_tombstone(record.status)) {
            targets.push_back(id);
        }
    }
    std::copy_if(options_.seeds.begin(), options_.seeds.end(), std::back_inserter(targets),
                 [this](const node_id id) { return table_.find(id) == nullptr; });
    return targets;
}

bool membership_state::hides_suspicion(const member& record) const {
    return record.status == member_status::suspect && !regions_.reachable(record.region);
}

} // namespace goldcrestwell::internal
