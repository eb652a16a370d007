#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/membership/control_priority.hpp"
#include "goldcrestwell/core/membership/membership_counters.hpp"
#include "goldcrestwell/core/membership/membership_options.hpp"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace goldcrestwell {

namespace internal {
class membership_state;
}

/**
 * @brief Group membership of one node: failure detection, gossip and anti-entropy.
 *
 * Hooks are called from inside the member functions and must not call back into the object.
 */
class membership {
public:
    using size_type = std::size_t;

    explicit membership(membership_options options);
    membership(membership&&) noexcept;
    membership& operator=(membership&&) noexcept;
    ~membership();

    /** @brief Starts the timers and schedules the join through a seed. */
    void start(time_sample now);
    /** @brief Replaces the seeds and contacts the new ones without delay. */
    void set_seeds(std::vector<node_id> seeds, time_sample now);
    void on_datagram(const datagram& message, time_sample now);
    void on_sync(node_id from, const sync_digest& digest, time_sample now);
    void on_sync(node_id from, const sync_state& state, time_sample now);
    void on_sync(node_id from, const sync_list& list, time_sample now);
    void on_sync(node_id from, const sync_request& request, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

    /** @brief Publishes the local upstream; has no effect if nothing changed. */
    void announce(const upstream_info& upstream, time_sample now);
    /** @brief Removes the local upstream from this node's record. */
    void withdraw(time_sample now);
    /** @brief Publishes the status `leaving`: this node drains and accepts no new work. */
    void start_leaving(time_sample now);
    /** @brief Publishes the status `left` when the drain is complete, before the process ends. */
    void finish_leaving(time_sample now);

    /**
     * @brief Gossips the state of a rollout.
     * @param urgent Pushes the state at once, at the priority of rollbacks.
     */
    void broadcast(const rollout_update& update, bool urgent, time_sample now);
    /** @brief Publishes this node's position in the log; an earlier position is ignored. */
    void set_position(log_offset position, time_sample now);

    /** @brief Returns the record of a node, or null if there is none. */
    [[nodiscard]] const member* find(node_id id) const;
    /** @brief Returns all records, including tombstones and the record of this node. */
    [[nodiscard]] const std::map<node_id, member>& members() const noexcept;
    /** @brief Returns false while a network partition of the region is detected. */
    [[nodiscard]] bool reachable(const region& name) const;

    /** @brief Returns the live nodes with a local upstream of this version, including this node, in order of id. */
    [[nodiscard]] const std::vector<node_id>& upstreams(const service_name& service,
                                                        const upstream_version& version) const;
    /** @brief Returns the live nodes with a local upstream of the service, in order of id. */
    [[nodiscard]] std::vector<node_id> service_nodes(const service_name& service) const;
    /** @brief Returns the live nodes of a data centre, including this node, in order of id. */
    [[nodiscard]] const std::vector<node_id>& alive_in(const data_centre& name) const;
    /** @brief Returns all live nodes, including this node, in order of id. */
    [[nodiscard]] std::vector<node_id> alive() const;

    /**
     * @brief Charges control traffic of other modules to the byte budget.
     * @return False if the budget does not allow the bytes to be sent now.
     */
    [[nodiscard]] bool spend(size_type bytes, control_priority priority, time_sample now);

    [[nodiscard]] const membership_counters& counts() const noexcept;

private:
    std::unique_ptr<internal::membership_state> state_;
};

} // namespace goldcrestwell

#endif
