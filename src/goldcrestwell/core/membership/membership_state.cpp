#include "goldcrestwell/core/membership/membership_state.hpp"

#include "goldcrestwell/core/membership/member_order.hpp"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <utility>

namespace goldcrestwell::internal {

namespace {

/** XORed with the seed of the options, so that each component has its own random sequence. */
constexpr std::uint64_t detector_seed = 0x64657465;
constexpr std::uint64_t joiner_seed = 0x6A6F696E;
constexpr std::uint64_t anti_entropy_seed = 0x73796E63;
constexpr std::uint64_t push_seed = 0x70757368;

incarnation next_after(const incarnation value) {
    return incarnation{value.value() + 1};
}

std::optional<steady_time> earliest(const std::initializer_list<std::optional<steady_time>> times) {
    std::optional<steady_time> result;
    for (const auto& time : times) {
        if (time && (!result || *time < *result)) {
            result = time;
        }
    }
    return result;
}

} // namespace

membership_state::membership_state(membership_options options)
    : options_{std::move(options)}, self_{options_.self.id}, budget_{options_.bytes_per_second, counts_},
      peers_{options_.seed}, push_targets_{options_.seed ^ push_seed}, regions_{options_.self.region},
      table_{options_.timing.tombstone_retention,
             [this](const member* before, const member* after) {
                 table_changed(before, after);
             }},
      detector_{make_detector()}, joiner_{make_joiner()}, anti_entropy_{make_anti_entropy()},
      empty_datagram_bytes_{options_.wire_size(datagram{})} {
    table_.apply(options_.self, now_);
}

failure_detector membership_state::make_detector() {
    return failure_detector{
        {.timing = options_.timing,
         .seed = options_.seed ^ detector_seed,
         .next_target = [this] { return peers_.next(); },
         .send_ping = [this](const node_id target,
                             const std::uint32_t sequence) { return send_ping(target, sequence); },
         .send_ping_requests = [this](const node_id target,
                                      const std::uint32_t sequence) { send_ping_requests(target, sequence); },
         .forward_ack =
             [this](const node_id requester, const std::uint32_t sequence, const node_id target) {
                 (void)send(requester, make_datagram(datagram_kind::ack, sequence, target), control_priority::detection,
                            false);
             },
         .probe_failed =
             [this](const node_id target) {
                 probe_failed(target);
             }}};
}

seed_joiner membership_state::make_joiner() {
    auto seeds = options_.seeds;
    std::erase(seeds, self_);
    return seed_joiner{{.timing = options_.timing,
                        .seeds = std::move(seeds),
                        .seed = options_.seed ^ joiner_seed,
                        .is_isolated = [this] { return peers_.empty(); },
                        .reconnect_targets = [this] { return reconnect_targets(); },
                        .ping =
                            [this](const node_id target) {
                                send_join_ping(target);
                            }}};
}

anti_entropy membership_state::make_anti_entropy() {
    anti_entropy_options options{
        .timing = options_.timing,
        .seed = options_.seed ^ anti_entropy_seed,
        .choose_peer = [this]() -> std::optional<node_id> {
            const auto chosen = peers_.choose(1, self_);
            return chosen.empty() ? std::nullopt : std::optional{chosen.front()};
        },
        .rollouts = [this] { return options_.known_rollouts ? options_.known_rollouts() : rollouts_.states(); },
        .published_record =
            [this](const member& record) {
                auto copy = record;
                copy.status = hides_suspicion(record) ? member_status::alive : record.status;
                return copy;
            },
        .encoded_size =
            [this](const sync_state& state) {
                datagram sample;
                sample.members = state.members;
                sample.rollouts = state.rollouts;
                return options_.wire_size(sample);
            },
        .send =
            [this](const node_id to, const peer_message& message) {
                counts_.syncs += std::holds_alternative<sync_digest>(message) ? 1U : 0U;
                options_.send_frame(to, message);
            }};
    return anti_entropy{std::move(options), table_, budget_};
}

void membership_state::start(const time_sample now) {
    now_ = now.steady;
    started_ = true;
    detector_.start(now_);
    joiner_.start(now_);
    anti_entropy_.catch_up(now_);
    enqueue(self(), false);
}

void membership_state::set_seeds(std::vector<node_id> seeds, const time_sample now) {
    advance_clock(now.steady);
    std::erase(seeds, self_);
    options_.seeds = seeds;
    joiner_.set_seeds(std::move(seeds), now_);
}

void membership_state::on_timer(const time_sample now) {
    advance_clock(now.steady);
    if (!started_) {
        return;
    }
    detector_.on_timer(now_);
    expire_suspicions();
    joiner_.on_timer(now_);
    push_if_due();
    anti_entropy_.on_timer(now_);
    table_.expire(now_);
}

std::optional<steady_time> membership_state::next_timer() const {
    if (!started_) {
        return std::nullopt;
    }
    return earliest({detector_.next_timer(), suspicions_.next_deadline(), joiner_.next_timer(), push_due_,
                     anti_entropy_.next_timer(), table_.next_expiry()});
}

void membership_state::advance_clock(const steady_time now) {
    const auto expected = next_timer();
    now_ = std::max(now_, now);
    if (expected && now > *expected + options_.timing.pause_threshold) {
        handle_pause();
    }
}

void membership_state::handle_pause() {
    ++counts_.pauses;
    detector_.resume(now_);
    suspicions_.restart_all(now_ + suspicion_timeout());
    joiner_.start(now_);
    anti_entropy_.catch_up(now_);
    // Other nodes may have declared this node dead and erased its record, so it is gossiped again.
    if (!is_tombstone(self().status)) {
        change_self([](member&) {}, {.steady = now_, .wall = {}});
    }
}

std::chrono::microseconds membership_state::suspicion_timeout() const {
    const auto nodes = static_cast<double>(peers_.size() + 1);
    const std::chrono::duration<double, std::milli> timeout =
        std::chrono::duration<double, std::milli>{options_.timing.suspicion_unit} * std::log(nodes + 1.0);
    return std::chrono::duration_cast<std::chrono::microseconds>(timeout);
}

void membership_state::change_self(const std::function<void(member&)>& change, const time_sample now) {
    now_ = std::max(now_, now.steady);
    const auto before = self();
    auto after = before;
    change(after);
    after.incarnation = next_after(before.incarnation);
    table_.apply(after, now_);
    enqueue(after, after.status == member_status::leaving || (before.upstream && !after.upstream));
}

void membership_state::finish_leaving(const time_sample now) {
    if (self().status == member_status::left) {
        return;
    }
    change_self([](member& record) { record.status = member_status::left; }, now);
    enqueue(self(), true);
    push();
}

void membership_state::on_sync(const node_id from, const sync_digest& digest, const time_sample now) {
    advance_clock(now.steady);
    anti_entropy_.on_digest(from, digest, now_);
}

void membership_state::on_sync(const node_id from, const sync_list& list, const time_sample now) {
    advance_clock(now.steady);
    anti_entropy_.on_list(from, list, now_);
}

void membership_state::on_sync(const node_id from, const sync_request& request, const time_sample now) {
    advance_clock(now.steady);
    anti_entropy_.on_request(from, request, now_);
}

void membership_state::on_sync(const node_id /*from*/, const sync_state& state, const time_sample now) {
    advance_clock(now.steady);
    for (const auto& record : state.members) {
        (void)apply_record(record, source::exchange);
    }
    for (const auto& update : state.rollouts) {
        receive_rollout(update);
    }
}

bool membership_state::spend(const size_type bytes, const control_priority priority, const time_sample now) {
    return budget_.spend(bytes, priority, now.steady);
}

void membership_state::set_position(const log_offset position, const time_sample now) {
    now_ = std::max(now_, now.steady);
    if (position <= position_) {
        return;
    }
    position_ = position;
    position_rounds_left_ = max_transmissions() / push_fan_out;
    schedule_push();
}

void membership_state::broadcast(const rollout_update& update, const bool urgent, const time_sample now) {
    now_ = std::max(now_, now.steady);
    rollouts_.merge(update);
    enqueue(update, urgent);
}

} // namespace goldcrestwell::internal
