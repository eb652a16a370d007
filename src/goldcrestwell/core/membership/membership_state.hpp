#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_STATE_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_STATE_HPP

#include "goldcrestwell/core/membership/anti_entropy.hpp"
#include "goldcrestwell/core/membership/byte_budget.hpp"
#include "goldcrestwell/core/membership/dissemination.hpp"
#include "goldcrestwell/core/membership/failure_detector.hpp"
#include "goldcrestwell/core/membership/member_table.hpp"
#include "goldcrestwell/core/membership/membership_options.hpp"
#include "goldcrestwell/core/membership/peer_list.hpp"
#include "goldcrestwell/core/membership/region_monitor.hpp"
#include "goldcrestwell/core/membership/rollout_cache.hpp"
#include "goldcrestwell/core/membership/seed_joiner.hpp"
#include "goldcrestwell/core/membership/suspicion_list.hpp"
#include "goldcrestwell/core/membership/upstream_index.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Implementation of `membership`, which documents the public functions. */
class membership_state {
public:
    using size_type = std::size_t;

    explicit membership_state(membership_options options);

    void start(time_sample now);
    void set_seeds(std::vector<node_id> seeds, time_sample now);
    void on_datagram(const datagram& message, time_sample now);
    void on_sync(node_id from, const sync_digest& digest, time_sample now);
    void on_sync(node_id from, const sync_state& state, time_sample now);
    void on_sync(node_id from, const sync_list& list, time_sample now);
    void on_sync(node_id from, const sync_request& request, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

    /** @brief Changes this node's record, raises its incarnation and queues it for gossip. */
    void change_self(const std::function<void(member&)>& change, time_sample now);
    /** @brief Pushes this node's `left` record at once, because no timer may fire any more. */
    void finish_leaving(time_sample now);
    void broadcast(const rollout_update& update, bool urgent, time_sample now);
    void set_position(log_offset position, time_sample now);
    [[nodiscard]] bool spend(size_type bytes, control_priority priority, time_sample now);

    [[nodiscard]] const member& self() const { return *table_.find(self_); }
    [[nodiscard]] const member_table& table() const noexcept { return table_; }
    [[nodiscard]] const upstream_index& index() const noexcept { return upstream_index_; }
    [[nodiscard]] const region_monitor& regions() const noexcept { return regions_; }
    [[nodiscard]] const membership_counters& counts() const noexcept { return counts_; }

private:
    enum class source : std::uint8_t { gossip, exchange };

    /** @brief Number of nodes to which each round of pushes is sent. */
    static constexpr size_type push_fan_out = 3;

    // Construction of the components.
    [[nodiscard]] failure_detector make_detector();
    [[nodiscard]] seed_joiner make_joiner();
    [[nodiscard]] anti_entropy make_anti_entropy();

    // Clock and pauses.
    void advance_clock(steady_time now);
    void handle_pause();
    [[nodiscard]] std::chrono::microseconds suspicion_timeout() const;

    // Member records and rollouts.
    /** @return True if the record changed the table entry of another node. */
    bool apply_record(const member& record, source from);
    void refute(const member& record);
    void table_changed(const member* before, const member* after);
    void track_peer(const member& record);
    void track_region(const region& name);
    void probe_failed(node_id target);
    void expire_suspicions();
    void receive_rollout(const rollout_update& update);
    [[nodiscard]] std::vector<node_id> reconnect_targets() const;
    [[nodiscard]] bool hides_suspicion(const member& record) const;

    // Gossip.
    void enqueue(const member& record, bool urgent);
    void enqueue(const rollout_update& update, bool urgent);
    void schedule_push();
    void push_if_due();
    void push();
    void push_backlog();
    [[nodiscard]] bool has_backlog() const;
    [[nodiscard]] size_type max_transmissions() const;
    /** @brief Returns a copy of the record; data centre, region and upstream are kept only for a live member. */
    [[nodiscard]] static member without_details(const member& record);

    // Datagrams.
    [[nodiscard]] datagram make_datagram(datagram_kind kind, std::uint32_t sequence, node_id target) const;
    [[nodiscard]] bool send_ping(node_id target, std::uint32_t sequence);
    void send_ping_requests(node_id target, std::uint32_t sequence);
    void send_join_ping(node_id target);
    void send_ack(const datagram& ping, bool new_member);
    [[nodiscard]] bool send(node_id to, datagram message, control_priority priority, bool urgent_only);
    void append_updates(datagram& message, size_type free_bytes, bool urgent_only);
    void append_random_members(datagram& message, node_id excluded);

    membership_options options_;
    node_id self_;
    membership_counters counts_;
    byte_budget budget_;
    peer_list peers_;
    /** @brief Members of `peers_` in separate rounds, for pushes. */
    peer_list push_targets_;
    region_monitor regions_;
    upstream_index upstream_index_;
    suspicion_list suspicions_;
    member_table table_;
    dissemination queue_;
    rollout_cache rollouts_;
    failure_detector detector_;
    seed_joiner joiner_;
    anti_entropy anti_entropy_;
    log_offset position_;
    steady_time now_{};
    bool started_{};
    /** @brief Set if a record in the current datagram was refuted; its ack then carries this node's record. */
    bool refuted_in_datagram_{};
    size_type position_rounds_left_{};
    std::optional<steady_time> push_due_;
    std::optional<steady_time> last_push_;
    size_type empty_datagram_bytes_{};
};

} // namespace goldcrestwell::internal

#endif
