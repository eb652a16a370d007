#include "goldcrestwell/core/membership/member_order.hpp"
#include "goldcrestwell/core/membership/membership_state.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestwell::internal {

namespace {

/** Largest datagram; smaller than the payload of the smallest common MTU, so that none is fragmented. */
constexpr std::size_t datagram_limit = 1190;
/** Array headers that grow with the number of facts. */
constexpr std::size_t header_slack = 8;
/** IP and UDP headers. */
constexpr std::size_t datagram_overhead = 28;
/** Other nodes asked to probe; with 5 % loss a way, three requests fail together in less than 1 % of cases. */
constexpr std::size_t request_count = 3;
/** Members told to a newcomer, so that its next questions go elsewhere. */
constexpr std::size_t newcomer_members = 4;
/** Sequence of a ping that asks for an introduction and is no probe. */
constexpr std::uint32_t join_sequence = 0;
/**
 * More waiting facts than fit the ping and the ack of a second; they are pushed as far as the lowest priority would be
 * paid, so that joining nodes still get their tables.
 */
constexpr std::size_t backlog_facts = 16;
/**
 * Bytes that backlog pushes leave for the largest message of an exchange. At 800 nodes forming a group, three of four
 * pushed records were known to their receiver already, but almost none of those sent in exchanges.
 */
constexpr std::size_t exchange_room = 3000;
/** Transmissions beyond ln(n): exp(-5) nodes out of all are then expected to miss a fact. */
constexpr double extra_transmissions = 5.0;
/**
 * More transmissions of an urgent fact: exp(-9) nodes are then expected to miss it. With exp(-3), one withdrawal in
 * twenty left a node that sent calls to the upstream until the next anti-entropy exchange, 10 s later.
 */
constexpr std::size_t urgent_transmissions = 4;

bool introduces_sender(const datagram& message) {
    return std::any_of(message.members.begin(), message.members.end(), [&message](const member& record) {
        return record.id == message.sender && record.start_incarnation == message.start_incarnation;
    });
}

} // namespace

void membership_state::spread(const member& record, const bool urgent) {
    datagram sample;
    sample.members.push_back(compact(record));
    queue_.add(record.id, urgent ? control_priority::leaving : control_priority::join,
               options_.wire_size(sample) - empty_size_, urgent ? urgent_transmissions : 0);
    if (urgent) {
        request_push();
    } else if (!push_due_ && has_backlog()) {
        push_due_ = now_ + options_.timing.push_interval;
    }
}

void membership_state::spread(const rollout_update& update, const bool urgent) {
    datagram sample;
    sample.rollouts.push_back(update);
    queue_.add(update.key.row, urgent ? control_priority::take_back : control_priority::position,
               options_.wire_size(sample) - empty_size_, urgent ? urgent_transmissions : 0);
    if (urgent) {
        request_push();
    }
}

void membership_state::request_push() {
    const auto soonest = last_push_ ? std::max(now_, *last_push_ + options_.timing.push_gap) : now_;
    if (!push_due_ || soonest < *push_due_) {
        push_due_ = soonest;
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
    if (!queue_.has_urgent() && position_rounds_ == 0) {
        push_backlog();
        return;
    }
    const auto priority =
        queue_.has_urgent() ? queue_.first_priority().value_or(control_priority::position) : control_priority::position;
    // Pushes go round: with targets drawn at random, the pushes of all nodes together left one node of ten out.
    for (const auto target : push_targets_.next(push_fan_out)) {
        if (!send(target, make(datagram_kind::push, 0, {}), priority, true)) {
            break;
        }
    }
    position_rounds_ -= position_rounds_ > 0 ? 1U : 0U;
    if (!peers_.empty() && (queue_.has_urgent() || position_rounds_ > 0 || has_backlog())) {
        push_due_ = now_ + options_.timing.push_interval;
    }
}

void membership_state::push_backlog() {
    for (const auto target : peers_.choose(push_fan_out, self_)) {
        if (budget_.available(control_priority::anti_entropy, now_) < exchange_room + datagram_limit ||
            !has_backlog()) {
            break;
        }
        (void)send(target, make(datagram_kind::push, 0, {}), control_priority::join, false);
    }
    if (!peers_.empty() && has_backlog()) {
        push_due_ = now_ + options_.timing.push_interval;
    }
}

bool membership_state::has_backlog() const {
    return queue_.size() > backlog_facts;
}

membership_state::size_type membership_state::retransmit_limit() const {
    return static_cast<size_type>(std::ceil(std::log(static_cast<double>(peers_.size() + 2)) + extra_transmissions));
}

member membership_state::compact(const member& record) {
    if (record.status == member_status::alive) {
        return record;
    }
    auto status_only = record;
    status_only.data_centre = {};
    status_only.region = {};
    status_only.upstream.reset();
    return status_only;
}

datagram membership_state::make(const datagram_kind kind, const std::uint32_t sequence, const node_id target) const {
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
    auto ping = make(datagram_kind::ping, sequence, target);
    const auto* known = table_.find(target);
    // A target that hears about the suspicion refutes it in the ack.
    if (known != nullptr && known->status != member_status::alive) {
        ping.members.push_back(compact(*known));
    }
    return send(target, std::move(ping), control_priority::detection, false);
}

void membership_state::send_requests(const node_id target, const std::uint32_t sequence) {
    for (const auto via : peers_.choose(request_count, target)) {
        ++counts_.indirect_probes;
        (void)send(via, make(datagram_kind::ping_request, sequence, target), control_priority::detection, false);
    }
}

void membership_state::send_join_ping(const node_id target) {
    ++counts_.join_pings;
    auto ping = make(datagram_kind::ping, join_sequence, target);
    ping.members.push_back(compact(self()));
    const auto* known = table_.find(target);
    if (known != nullptr && known->status != member_status::alive) {
        ping.members.push_back(compact(*known));
    }
    (void)send(target, std::move(ping), control_priority::join, true);
}

void membership_state::answer_ping(const datagram& ping, const bool newcomer) {
    auto ack = make(datagram_kind::ack, ping.sequence, self_);
    const auto joining = newcomer || ping.sequence == join_sequence;
    if (refuted_ || joining) {
        ack.members.push_back(compact(self()));
    }
    const auto* known = table_.find(ping.sender);
    if (known != nullptr && known->status != member_status::alive) {
        ack.members.push_back(compact(*known));
    }
    if (joining) {
        append_random_members(ack, ping.sender);
    }
    // A seed that is asked by thousands at once can answer more of them without piggybacked facts.
    (void)send(ping.sender, std::move(ack), joining ? control_priority::join : control_priority::detection, joining);
}

void membership_state::append_random_members(datagram& message, const node_id excluded) {
    for (const auto id : peers_.choose(newcomer_members, excluded)) {
        message.members.push_back(*table_.find(id));
        if (options_.wire_size(message) > datagram_limit) {
            message.members.pop_back();
            return;
        }
    }
}

bool membership_state::send(const node_id to, datagram message, const control_priority priority,
                            const bool urgent_only) {
    const auto bare = options_.wire_size(message);
    if (!budget_.spend(bare + datagram_overhead, priority, now_)) {
        return false;
    }
    const auto first = queue_.first_priority();
    if (first && bare + header_slack < datagram_limit) {
        const auto room = std::min(datagram_limit - bare, budget_.available(*first, now_));
        // Facts that are not urgent leave room for urgent ones and for answers to joining nodes.
        const auto only_urgent = urgent_only || budget_.available(control_priority::evidence, now_) < datagram_limit;
        append_facts(message, room > header_slack ? room - header_slack : 0, only_urgent);
        const auto facts = options_.wire_size(message) - bare;
        if (facts > 0) {
            (void)budget_.spend(facts, *first, now_);
            counts_.fact_bytes += facts;
        }
    }
    ++counts_.datagrams;
    options_.send_datagram(to, message);
    return true;
}

void membership_state::append_facts(datagram& message, const size_type room, const bool urgent_only) {
    for (const auto& key : queue_.take(room, urgent_only, retransmit_limit())) {
        if (const auto* id = std::get_if<node_id>(&key)) {
            const auto* record = table_.find(*id);
            if (record != nullptr && !withheld(*record)) {
                message.members.push_back(compact(*record));
            }
        } else if (const auto* update = rollouts_.find(std::get<row_key>(key))) {
            message.rollouts.push_back(*update);
        }
    }
    while (options_.wire_size(message) > datagram_limit && !message.members.empty()) {
        message.members.pop_back();
    }
}

void membership_state::on_datagram(const datagram& message, const time_sample now) {
    enter(now.steady);
    if (!started_ || message.sender == self_) {
        return;
    }
    const auto* known = table_.find(message.sender);
    if (known != nullptr && message.start_incarnation < known->start_incarnation) {
        ++counts_.old_life_datagrams;
        return;
    }
    const auto newcomer = known == nullptr || known->start_incarnation < message.start_incarnation;
    // While a seed is too busy to answer, whoever has heard of this node from the seed can introduce it. A newcomer
    // whose own record was lost, for example in a cut, is asked for it: nobody else would ever choose it as a peer.
    if (newcomer && message.sequence != join_sequence && (peers_.empty() || !introduces_sender(message))) {
        send_join_ping(message.sender);
    }
    refuted_ = false;
    for (const auto& record : message.members) {
        learn(record, source::gossip);
    }
    for (const auto& update : message.rollouts) {
        receive_rollout(update);
    }
    if (message.position && options_.position_received) {
        options_.position_received(message.sender, message.position);
    }
    switch (message.kind) {
    case datagram_kind::ping:
        answer_ping(message, newcomer);
        break;
    case datagram_kind::ack: {
        const auto about = message.target ? message.target : message.sender;
        const auto* answered = table_.find(about);
        if (answered != nullptr && answered->status == member_status::leaving) {
            suspicions_.cancel(about);
        }
        detector_.on_ack(about, message.sequence, now_);
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
