#ifndef GOLDCRESTWELL_TEST_CORE_CONFIG_FLEET_HPP
#define GOLDCRESTWELL_TEST_CORE_CONFIG_FLEET_HPP

#include "core/config/fake_log.hpp"
#include "core/config/table_support.hpp"
#include "goldcrestwell/core/config/config_follower.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace goldcrestwell::test {

/** @brief Simulated faults of the network and the log. */
struct fault_settings {
    double loss_probability{};
    /** @brief Additional loss of record batches, that is, of pushes and of replies to pulls. */
    double batch_loss_probability{};
    double duplication_probability{};
    double delay_probability{};
    bool log_down{};
    std::chrono::milliseconds log_delay{5};
    bool data_centres_disconnected{};
};

/** @brief Config followers with a simulated network, log and clock. */
class fleet {
public:
    static constexpr std::chrono::milliseconds retention{120'000};

    fleet(std::uint64_t seed, std::size_t data_centres, std::size_t nodes_each);

    void run_for(std::chrono::milliseconds duration);
    void schedule_after(std::chrono::milliseconds delay, std::function<void()> action);
    void pause(std::size_t index);
    void resume(std::size_t index);
    void restart(std::size_t index);
    /**
     * @brief Appends a record to the log.
     * @return False if the log is down, true otherwise.
     */
    bool append(const log_record& record);

    [[nodiscard]] std::size_t size() const noexcept { return nodes_.size(); }
    [[nodiscard]] config_follower& follower(const std::size_t index) { return *nodes_[index].follower; }
    [[nodiscard]] std::size_t data_centre_of(const std::size_t index) const { return index / nodes_each_; }
    [[nodiscard]] const table_reducer& reference() const noexcept { return reference_; }
    [[nodiscard]] steady_time now() const noexcept { return now_; }
    [[nodiscard]] std::size_t max_sends_per_record() const;

    fault_settings faults;
    std::mt19937_64 random;
    invariant_monitor monitor{failing_monitor()};
    std::size_t state_transfers{};
    std::size_t log_reads{};
    std::size_t checkpoints{};

private:
    struct simulated_node {
        std::unique_ptr<config_follower> follower;
        std::uint64_t start_count{};
        bool paused{};
        bool reading{};
        std::deque<std::function<void()>> held_events;
        log_offset highest_position;
        std::map<std::uint64_t, std::size_t> sends_by_offset;
    };
    struct event {
        steady_time at;
        std::uint64_t order{};
        std::function<void()> action;
        bool operator<(const event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void start(std::size_t index);
    config_follower_options options_for(std::size_t index);
    void add_hooks(std::size_t index, config_follower_options& options);
    void deliver(std::size_t index, std::function<void(config_follower&)> action);
    void send(std::size_t from, node_id to, const std::function<void(config_follower&)>& action);
    void read(std::size_t index, log_offset after, std::chrono::milliseconds wait);
    void finish_read(std::size_t index, log_offset after, steady_time until);
    void gossip_positions();
    void check_state(std::size_t index);
    [[nodiscard]] bool happens_with(double probability);
    [[nodiscard]] std::size_t index_of(node_id id) const { return static_cast<std::size_t>(id.port()); }
    [[nodiscard]] std::vector<node_id> members(std::optional<std::size_t> data_centre) const;

    std::size_t nodes_each_;
    fake_log log_;
    table_reducer reference_;
    std::map<log_offset, std::shared_ptr<const table_snapshot>> history_;
    std::vector<simulated_node> nodes_;
    std::priority_queue<event> events_;
    std::uint64_t next_event_order_{};
    steady_time now_{std::chrono::hours{1}};
};

} // namespace goldcrestwell::test

#endif
