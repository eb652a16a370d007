#ifndef GOLDCRESTWELL_TEST_CORE_MEMBERSHIP_SIMULATED_NETWORK_HPP
#define GOLDCRESTWELL_TEST_CORE_MEMBERSHIP_SIMULATED_NETWORK_HPP

#include "goldcrestwell/core/membership/membership.hpp"

#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestwell::simulated {

/** @brief Returns the approximate encoded size of a datagram: fixed-size integers and length-prefixed strings. */
inline std::size_t wire_size(const datagram& message) {
    std::size_t bytes = 48;
    for (const auto& record : message.members) {
        bytes += 34 + record.data_centre.value.size() + record.region.value.size();
        if (record.upstream) {
            bytes += 12 + record.upstream->service.value.size() + record.upstream->version.value.size();
        }
    }
    for (const auto& update : message.rollouts) {
        bytes += 20 + update.key.row.route.value.size() + update.key.row.version.value.size();
    }
    return bytes;
}

/** @brief Returns the approximate size of a frame with the TCP and IP headers of the frame and its acknowledgement. */
inline std::size_t frame_size(const peer_message& message) {
    constexpr std::size_t overhead = 92;
    if (const auto* state = std::get_if<sync_state>(&message)) {
        datagram sample;
        sample.members = state->members;
        sample.rollouts = state->rollouts;
        return overhead + wire_size(sample);
    }
    if (const auto* list = std::get_if<sync_list>(&message)) {
        return overhead + 20 * list->records.size();
    }
    if (const auto* request = std::get_if<sync_request>(&message)) {
        return overhead + 9 * request->ids.size();
    }
    return overhead + 5 * std::get<sync_digest>(message).buckets.size();
}

/** @brief Packet loss, duplication and delay of the network. Loss and duplication affect datagrams only. */
struct faults {
    double drop{};
    double duplicate{};
    std::chrono::microseconds min_delay{500};
    std::chrono::microseconds max_delay{5000};
};

/** @brief One simulated process. */
struct process {
    member self;
    std::unique_ptr<membership> node;
    std::uint64_t run_number{};
    bool paused{};
    std::uint64_t bytes_sent{};
    std::size_t max_datagram_bytes{};
    std::optional<steady_time> timer;
};

/** @brief Simulated cluster: `membership` objects connected by a queue of messages and timers in virtual time. */
class network {
public:
    using millis = std::chrono::milliseconds;

    network(std::size_t count, std::size_t regions, std::size_t seed_count, std::uint64_t seed)
        : random_{seed}, processes_(count) {
        for (std::size_t index = 0; index < count; ++index) {
            auto& self = processes_[index].self;
            self.id = id(index);
            self.region.value = "region-" + std::to_string(index % regions);
            self.data_centre.value = "centre-" + std::to_string(index % (regions * 2));
            if (index < seed_count) {
                seeds_.push_back(self.id);
            }
        }
    }

    static node_id id(const std::size_t index) { return node_id{static_cast<std::uint32_t>(index + 1), 7000}; }
    static std::size_t index_of(const node_id id) { return id.address() - 1; }

    time_sample now() const {
        return {.steady = now_, .wall = wall_time{std::chrono::duration_cast<millis>(now_.time_since_epoch())}};
    }

    /** @brief Starts or restarts a process with an empty table and a new start incarnation. */
    void start(const std::size_t index, invariant_monitor* invariants = nullptr) {
        auto& item = processes_[index];
        ++item.run_number;
        item.paused = false;
        item.timer.reset();
        const auto start_incarnation = 1'000'000 + std::chrono::duration_cast<millis>(now_.time_since_epoch()).count();
        item.self.start_incarnation = incarnation{static_cast<std::uint64_t>(start_incarnation)};
        item.self.incarnation = item.self.start_incarnation;
        membership_options options;
        options.self = item.self;
        options.seeds = seeds_;
        options.seed = random_();
        options.wire_size = wire_size;
        options.invariants = invariants;
        options.send_datagram = [this, index](const node_id to, const datagram& message) {
            const auto size = wire_size(message);
            processes_[index].bytes_sent += size + 28;
            processes_[index].max_datagram_bytes = std::max(processes_[index].max_datagram_bytes, size);
            transmit(index, index_of(to), std::make_shared<payload>(message), true);
        };
        options.send_frame = [this, index](const node_id to, const peer_message& message) {
            processes_[index].bytes_sent += frame_size(message);
            transmit(index, index_of(to), std::make_shared<payload>(message), false);
        };
        options.member_changed = member_changed ? [this, index](const member& record) {
            member_changed(index, record);
        } : std::function<void(const member&)>{};
        options.rollout_received = [this, index](const rollout_update& update) {
            if (rollout_received) {
                rollout_received(index, update);
            }
        };
        item.node = std::make_unique<membership>(std::move(options));
        item.node->start(now());
        schedule(index);
    }

    void kill(const std::size_t index) {
        ++processes_[index].run_number;
        processes_[index].node.reset();
    }

    void pause(const std::size_t index) { processes_[index].paused = true; }
    void resume(const std::size_t index) {
        processes_[index].paused = false;
        processes_[index].timer.reset();
        schedule(index);
    }

    /** @brief Calls a function with a running node and reschedules the node's timer. */
    template <typename Call>
    void invoke(const std::size_t index, Call call) {
        call(*processes_[index].node);
        schedule(index);
    }

    void run_for(const std::chrono::microseconds duration) {
        run_until(now_ + duration, [] { return false; });
    }

    /** @brief Runs until a condition holds. @return False if it did not hold by `end`. */
    template <typename Condition>
    bool run_until(const steady_time end, Condition done) {
        while (!done()) {
            if (events_.empty() || events_.top().time > end) {
                now_ = end;
                return false;
            }
            auto next = events_.top();
            events_.pop();
            now_ = std::max(now_, next.time);
            deliver(next);
        }
        return true;
    }

    bool running(const std::size_t index) const {
        return processes_[index].node != nullptr && !processes_[index].paused;
    }
    membership& node(const std::size_t index) { return *processes_[index].node; }
    process& at(const std::size_t index) { return processes_[index]; }
    std::size_t size() const { return processes_.size(); }
    std::mt19937_64& random() { return random_; }

    faults network_faults;
    /** @brief Pairs of regions that cannot reach each other, smaller name first. */
    std::set<std::pair<region, region>> partitions;
    std::function<void(std::size_t, const member&)> member_changed;
    std::function<void(std::size_t, const rollout_update&)> rollout_received;

private:
    using payload = std::variant<datagram, peer_message>;
    struct event {
        steady_time time;
        std::uint64_t sequence{};
        std::size_t from{};
        std::size_t to{};
        std::uint64_t run_number{};
        std::shared_ptr<payload> message;

        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    bool chance(const double probability) {
        return probability > 0 && std::uniform_real_distribution<double>{}(random_) < probability;
    }

    bool is_partitioned(const std::size_t left, const std::size_t right) const {
        const auto names = std::minmax(processes_[left].self.region, processes_[right].self.region);
        return partitions.contains({names.first, names.second});
    }

    void transmit(const std::size_t from, const std::size_t to, const std::shared_ptr<payload>& message,
                  const bool is_datagram) {
        if (to >= processes_.size() || is_partitioned(from, to) || (is_datagram && chance(network_faults.drop))) {
            return;
        }
        const auto copies = is_datagram && chance(network_faults.duplicate) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            std::uniform_int_distribution<std::int64_t> delay{network_faults.min_delay.count(),
                                                              network_faults.max_delay.count()};
            events_.push({now_ + std::chrono::microseconds{delay(random_)}, ++sequence_, from, to,
                          processes_[to].run_number, message});
        }
    }

    void schedule(const std::size_t index) {
        auto& item = processes_[index];
        const auto due = item.node->next_timer();
        if (due && (!item.timer || *due < *item.timer)) {
            item.timer = std::max(*due, now_);
            events_.push({*item.timer, ++sequence_, index, index, item.run_number, nullptr});
        }
    }

    void deliver(const event& next) {
        auto& item = processes_[next.to];
        if (item.node == nullptr || next.run_number != item.run_number || item.paused) {
            return;
        }
        if (next.message == nullptr) {
            if (!item.timer || *item.timer != next.time) {
                return;
            }
            item.timer.reset();
            if (const auto due = item.node->next_timer(); due && *due <= now_) {
                item.node->on_timer(now());
            }
        } else if (const auto* message = std::get_if<datagram>(next.message.get())) {
            item.node->on_datagram(*message, now());
        } else {
            const auto& frame = std::get<peer_message>(*next.message);
            const auto sender = processes_[next.from].self.id;
            if (const auto* state = std::get_if<sync_state>(&frame)) {
                item.node->on_sync(sender, *state, now());
            } else if (const auto* list = std::get_if<sync_list>(&frame)) {
                item.node->on_sync(sender, *list, now());
            } else if (const auto* request = std::get_if<sync_request>(&frame)) {
                item.node->on_sync(sender, *request, now());
            } else {
                item.node->on_sync(sender, std::get<sync_digest>(frame), now());
            }
        }
        schedule(next.to);
    }

    std::mt19937_64 random_;
    std::vector<process> processes_;
    std::vector<node_id> seeds_;
    steady_time now_{};
    std::uint64_t sequence_{};
    std::priority_queue<event> events_;
};

} // namespace goldcrestwell::simulated

#endif
