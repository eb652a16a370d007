#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_STATE_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_STATE_HPP

#include "goldcrestwell/core/membership/anti_entropy.hpp"
#include "goldcrestwell/core/membership/byte_budget.hpp"
#include "goldcrestwell/core/membership/dissemination.hpp"
#include "goldcrestwell/core/membership/failure_detector.hpp"
#include "goldcrestwell/core/membership/member_table.hpp"
#include "goldcrestwell/core/membership/membership_options.hpp"
#include "goldcrestwell/core/membership/peer_list.hpp"
#include "goldcrestwell/core/membership/region_watch.hpp"
#include "goldcrestwell/core/membership/rollout_cache.hpp"
#include "goldcrestwell/core/membership/seed_joiner.hpp"
#include "goldcrestwell/core/membership/suspicion_list.hpp"
#include "goldcrestwell/core/membership/upstream_index.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Joins the parts of the module; `membership` documents the events. */
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

    /** @brief Changes the own record, raises its incarnation and spreads it. */
    void change_self(const std::function<void(member&)>& change, time_sample now);
    /** @brief Sends the own `left` record at once, because no timer may follow. */
    void depart(time_sample now);
    void broadcast(const rollout_update& update, bool urgent, time_sample now);
    void set_position(log_offset position, time_sample now);
    [[nodiscard]] bool spend(size_type bytes, control_priority priority, time_sample now);

    [[nodiscard]] const member& self() const { return *table_.find(self_); }
    [[nodiscard]] const member_table& table() const noexcept { return table_; }
    [[nodiscard]] const upstream_index& index() const noexcept { return index_; }
    [[nodiscard]] const region_watch& regions() const noexcept { return regions_; }
    [[nodiscard]] const membership_counters& counts() const noexcept { return counts_; }

private:
    enum class source : std::uint8_t { gossip, exchange };

    /** Nodes that get each round of urgent pushes. */
    static constexpr size_type push_fan_out = 3;

    // Construction of the parts.
    [[nodiscard]] failure_detector make_detector();
    [[nodiscard]] seed_joiner make_joiner();
    [[nodiscard]] anti_entropy make_sync();

    // Time.
    void enter(steady_time now);
    void note_pause();
    [[nodiscard]] std::chrono::microseconds suspicion_timeout() const;

    // Facts about members and moves.
    /** @return True if the record was news about another node. */
    bool learn(const member& record, source from);
    void hear_about_self(const member& record);
    void table_changed(const member* before, const member* after);
    void track_peer(const member& record);
    void track_region(const region& name);
    void probe_failed(node_id target);
    void expire_suspicions();
    void receive_rollout(const rollout_update& update);
    [[nodiscard]] std::vector<node_id> lost_members() const;
    [[nodiscard]] bool withheld(const member& record) const;

    // Spreading.
    void spread(const member& record, bool urgent);
    void spread(const rollout_update& update, bool urgent);
    void request_push();
    void push_if_due();
    void push();
    void push_backlog();
    [[nodiscard]] bool has_backlog() const;
    [[nodiscard]] size_type retransmit_limit() const;
    [[nodiscard]] static member compact(const member& record);

    // Datagrams.
    [[nodiscard]] datagram make(datagram_kind kind, std::uint32_t sequence, node_id target) const;
    [[nodiscard]] bool send_ping(node_id target, std::uint32_t sequence);
    void send_requests(node_id target, std::uint32_t sequence);
    void send_join_ping(node_id target);
    void answer_ping(const datagram& ping, bool newcomer);
    [[nodiscard]] bool send(node_id to, datagram message, control_priority priority, bool urgent_only);
    void append_facts(datagram& message, size_type room, bool urgent_only);
    void append_random_members(datagram& message, node_id excluded);

    membership_options options_;
    node_id self_;
    membership_counters counts_;
    byte_budget budget_;
    peer_list peers_;
    /** @brief The same members, in the rounds of the pushes. */
    peer_list push_targets_;
    region_watch regions_;
    upstream_index index_;
    suspicion_list suspicions_;
    member_table table_;
    dissemination queue_;
    rollout_cache rollouts_;
    failure_detector detector_;
    seed_joiner joiner_;
    anti_entropy sync_;
    log_offset position_;
    steady_time now_{};
    bool started_{};
    bool refuted_{};
    size_type position_rounds_{};
    std::optional<steady_time> push_due_;
    std::optional<steady_time> last_push_;
    size_type empty_size_{};
};

} // namespace goldcrestwell::internal

#endif
