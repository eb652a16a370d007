#include "goldcrestwell/core/membership/member_order.hpp"
#include "goldcrestwell/core/membership/membership_state.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestwell::internal {

namespace {

/** Maximum size of a datagram, below the payload of the smallest common MTU, so that none is fragmented. */
constexpr std::size_t max_datagram_bytes = 1190;
/** Space for array headers, which grow with the number of updates. */
constexpr std::size_t header_slack_bytes = 8;
/** Bytes of the IP and UDP headers. */
constexpr std::size_t datagram_overhead_bytes = 28;
/** Number of nodes that probe indirectly; with 5 % loss in each direction, all three fail in less than 1 % of cases. */
constexpr std::size_t indirect_probe_count = 3;
/** Member records sent to a joining node, so that its next requests go to other nodes. */
constexpr std::size_t join_ack_members = 4;
/** Sequence number of a join ping, which requests the record of the receiver and is not a probe. */
constexpr std::uint32_t join_sequence = 0;
/**
 * Number of updates that fit into the ping and the ack of one second. While more are waiting, they are pushed as well,
 * but only as far as the budget of the lowest priority allows, so that joining nodes still receive their tables.
 */
constexpr std::size_t backlog_threshold = 16;
/**
 * Bytes of the budget that backlog pushes leave for the largest anti-entropy message. While 800 nodes formed a cluster,
 * receivers already had three of four pushed records, but almost none of those from anti-entropy.
 */
constexpr std::size_t exchange_reserve_bytes = 3000;
/** Transmissions of an update beyond ln(n), with which exp(-5) nodes are expected to miss it. */
constexpr double extra_transmissions = 5.0;
/**
 * Further transmissions of an urgent update, with which exp(-9) nodes are expected to miss it. With exp(-3), after one
 * withdrawal in twenty a node still sent calls to the upstream until the next anti-entropy exchange, 10 s later.
 */
constexpr std::size_t urgent_extra_transmissions = 4;

bool contains_sender_record(const datagram& message) {
    return std::any_of(message.members.begin(), message.members.end(), [&message](const member& record) {
        return record.id == message.sender && record.start_incarnation == message.start_incarnation;
    });
}

} // namespace

void membership_state::enqueue(const member& record, const bool urgent) {
    datagram sample;
    sample.members.push_back(without_details(record));
    queue_.add(record.id, urgent ? control_priority::leaving : control_priority::join,
               options_.wire_size(sample) - empty_datagram_bytes_, urgent ? urgent_extra_transmissions : 0);
    if (urgent) {
        schedule_push();
    } else if (!push_due_ && has_backlog()) {
        push_due_ = now_ + options_.timing.push_interval;
    }
}

void membership_state::enqueue(const rollout_update& update, const bool urgent) {
    datagram sample;
    sample.rollouts.push_back(update);
    queue_.add(update.key.row, urgent ? control_priority::take_back : control_priority::position,
               options_.wire_size(sample) - empty_datagram_bytes_, urgent ? urgent_extra_transmissions : 0);
    if (urgent) {
        schedule_push();
    }
}

void membership_state::schedule_push() {
    const auto due = last_push_ ? std::max(now_, *last_push_ + options_.timing.min_push_interval) : now_;
    if (!push_due_ || due < *push_due_) {
        push_due_ = due;
    }
}

void membership_state::push_if_due() {
    if (push_due_ && now_ >= *push_due_) {
        push();
    }
}

void membership_state::push() {
    push_due_.reset();
    last_push_ = now_;
    if (!queue_.has_urgent() && position_rounds_left_ == 0) {
        push_backlog();
        return;
    }
    const auto priority =
        queue_.has_urgent() ? queue_.next_priority().value_or(control_priority::position) : control_priority::position;
    // Targets are taken in rounds: with random targets, the pushes of all nodes together missed one node in ten.
    for (const auto target : push_targets_.next(push_fan_out)) {
        if (!send(target, make_datagram(datagram_kind::push, 0, {}), priority, true)) {
            break;
        }
    }
    position_rounds_left_ -= position_rounds_left_ > 0 ? 1U : 0U;
    if (!peers_.empty() && (queue_.has_urgent() || position_rounds_left_ > 0 || has_backlog())) {
        push_due_ = now_ + options_.timing.push_interval;
    }
}

void membership_state::push_backlog() {
    for (const auto target : peers_.choose(push_fan_out, self_)) {
        if (budget_.available(control_priority::anti_entropy, now_) < exchange_reserve_bytes + max_datagram_bytes ||
            !has_backlog()) {
            break;
        }
        (void)send(target, make_datagram(datagram_kind::push, 0, {}), control_priority::join, false);
    }
    if (!peers_.empty() && has_backlog()) {
        push_due_ = now_ + options_.timing.push_interval;
    }
}

bool membership_state::has_backlog() const {
    return queue_.size() > backlog_threshold;
}

membership_state::size_type membership_state::max_transmissions() const {
    return static_cast<size_type>(std::ceil(std::log(static_cast<double>(peers_.size() + 2)) + extra_transmissions));
}

member membership_state::without_details(const member& record) {
    if (record.status == member_status::alive) {
        return record;
    }
    auto status_only = record;
    status_only.data_centre = {};
    status_only.region = {};
    status_only.upstream.reset();
    return status_only;
}

datagram membership_state::make_datagram(const datagram_kind kind, const std::uint32_t sequence,
                                         const node_id target) const {
    return {.kind = kind,
            .sender = self_,
            .start_incarnation = options_.self.start_incarnation,
            .sequence = sequence,
            .target = target,
            .position = position_,
            .members = {},
            .rollouts = {}};
}

bool membership_state::send_ping(const node_id target, const std::uint32_t sequence) {
    ++counts_.probes;
    auto ping = make_datagram(datagram_kind::ping, sequence, target);
    const auto* known = table_.find(target);
    // The target can refute a suspicion in its ack only if the ping carries the suspect record.
    if (known != nullptr && known->status != member_status::alive) {
        ping.members.push_back(without_details(*known));
    }
    return send(target, std::move(ping), control_priority::detection, false);
}

void membership_state::send_ping_requests(const node_id target, const std::uint32_t sequence) {
    for (const auto relay : peers_.choose(indirect_probe_count, target)) {
        ++counts_.indirect_probes;
        (void)send(relay, make_datagram(datagram_kind::ping_request, sequence, target), control_priority::detection,
                   false);
    }
}

void membership_state::send_join_ping(const node_id target) {
    ++counts_.join_pings;
    auto ping = make_datagram(datagram_kind::ping, join_sequence, target);
    ping.members.push_back(without_details(self()));
    const auto* known = table_.find(target);
    if (known != nullptr && known->status != member_status::alive) {
        ping.members.push_back(without_details(*known));
    }
    (void)send(target, std::move(ping), control_priority::join, true);
}

void membership_state::send_ack(const datagram& ping, const bool new_member) {
    auto ack = make_datagram(datagram_kind::ack, ping.sequence, self_);
    const auto joining = new_member || ping.sequence == join_sequence;
    if (refuted_in_datagram_ || joining) {
        ack.members.push_back(without_details(self()));
    }
    const auto* known = table_.find(ping.sender);
    if (known != nullptr && known->status != member_status::alive) {
        ack.members.push_back(without_details(*known));
    }
    if (joining) {
        append_random_members(ack, ping.sender);
    }
    // Acks to joining nodes carry only urgent updates, so that a seed can acknowledge more of thousands of joins.
    (void)send(ping.sender, std::move(ack), joining ? control_priority::join : control_priority::detection, joining);
}

void membership_state::append_random_members(datagram& message, const node_id excluded) {
    for (const auto id : peers_.choose(join_ack_members, excluded)) {
        message.members.push_back(*table_.find(id));
        if (options_.wire_size(message) > max_datagram_bytes) {
            message.members.pop_back();
            return;
        }
    }
}

bool membership_state::send(const node_id to, datagram message, const control_priority priority,
                            const bool urgent_only) {
    const auto base_bytes = options_.wire_size(message);
    if (!budget_.spend(base_bytes + datagram_overhead_bytes, priority, now_)) {
        return false;
    }
    const auto update_priority = queue_.next_priority();
    if (update_priority && base_bytes + header_slack_bytes < max_datagram_bytes) {
        const auto free_bytes = std::min(max_datagram_bytes - base_bytes, budget_.available(*update_priority, now_));
        // Below this level, the budget is kept for urgent updates and for acks to joining nodes.
        const auto select_urgent_only =
            urgent_only || budget_.available(control_priority::evidence, now_) < max_datagram_bytes;
        append_updates(message, free_bytes > header_slack_bytes ? free_bytes - header_slack_bytes : 0,
                       select_urgent_only);
        const auto update_bytes = options_.wire_size(message) - base_bytes;
        if (update_bytes > 0) {
            (void)budget_.spend(update_bytes, *update_priority, now_);
            counts_.update_bytes += update_bytes;
        }
    }
    ++counts_.datagrams;
    options_.send_datagram(to, message);
    return true;
}

void membership_state::append_updates(datagram& message, const size_type free_bytes, const bool urgent_only) {
    for (const auto& key : queue_.take(free_bytes, urgent_only, max_transmissions())) {
        if (const auto* id = std::get_if<node_id>(&key)) {
            const auto* record = table_.find(*id);
            if (record != nullptr && !hides_suspicion(*record)) {
                message.members.push_back(without_details(*record));
            }
        } else if (const auto* update = rollouts_.find(std::get<row_key>(key))) {
            message.rollouts.push_back(*update);
        }
    }
    while (options_.wire_size(message) > max_datagram_bytes && !message.members.empty()) {
        message.members.pop_back();
    }
}

void membership_state::on_datagram(const datagram& message, const time_sample now) {
    advance_clock(now.steady);
    if (!started_ || message.sender == self_) {
        return;
    }
    const auto* known = table_.find(message.sender);
    if (known != nullptr && message.start_incarnation < known->start_incarnation) {
        ++counts_.stale_datagrams;
        return;
    }
    const auto new_member = known == nullptr || known->start_incarnation < message.start_incarnation;
    // While this node has no peers, for example because its seed is overloaded, it joins through any node that contacts
    // it. If a new member's record was lost, for example in a partition, this node requests it, because no node chooses
    // a peer without a record.
    if (new_member && message.sequence != join_sequence && (peers_.empty() || !contains_sender_record(message))) {
        send_join_ping(message.sender);
    }
    refuted_in_datagram_ = false;
    for (const auto& record : message.members) {
        apply_record(record, source::gossip);
    }
    for (const auto& update : message.rollouts) {
        receive_rollout(update);
    }
    if (message.position && options_.position_received) {
        options_.position_received(message.sender, message.position);
    }
    switch (message.kind) {
    case datagram_kind::ping:
        send_ack(message, new_member);
        break;
    case datagram_kind::ack: {
        const auto target = message.target ? message.target : message.sender;
        const auto* record = table_.find(target);
        if (record != nullptr && record->status == member_status::leaving) {
            suspicions_.cancel(target);
        }
        detector_.on_ack(target, message.sequence, now_);
        break;
    }
    case datagram_kind::ping_request:
        detector_.on_ping_request(message.sender, message.target, message.sequence, now_);
        break;
    case datagram_kind::push:
        break;
    }
}

} // namespace goldcrestwell::internal
