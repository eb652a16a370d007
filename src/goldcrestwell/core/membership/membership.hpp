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
 * @brief Knows the members of the system and spreads facts between them.
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

    /** @brief Makes this node known through its seeds and starts the timers. */
    void start(time_sample now);
    /** @brief Replaces the nodes to contact while no other member is known. */
    void set_seeds(std::vector<node_id> seeds, time_sample now);
    void on_datagram(const datagram& message, time_sample now);
    void on_sync(node_id from, const sync_digest& digest, time_sample now);
    void on_sync(node_id from, const sync_state& state, time_sample now);
    void on_sync(node_id from, const sync_list& list, time_sample now);
    void on_sync(node_id from, const sync_request& request, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

    /** @brief Makes the upstream beside this node known; without effect if nothing changed. */
    void announce(const upstream_info& upstream, time_sample now);
    /** @brief The upstream is gone, the node stays. */
    void withdraw(time_sample now);
    /** @brief The node accepts no new work and finishes the rest. */
    void leave(time_sample now);
    /** @brief The drain is complete; the process is about to end. */
    void depart(time_sample now);

    /** @param urgent Pushed at once, paid from the budget for take-backs. */
    void broadcast(const rollout_update& update, bool urgent, time_sample now);
    /** @brief Makes this node's position in the log known; an older position is ignored. */
    void set_position(log_offset position, time_sample now);

    /** @return The record of a node, or null if it is not known. */
    [[nodiscard]] const member* find(node_id id) const;
    /** @return All records, tombstones and this node included. */
    [[nodiscard]] const std::map<node_id, member>& members() const noexcept;
    /** @return False while the region is taken to be cut off from this node. */
    [[nodiscard]] bool reachable(const region& name) const;

    /** @return Nodes that are alive beside an upstream of this version, this node included, in order of id. */
    [[nodiscard]] const std::vector<node_id>& upstreams(const service_name& service,
                                                        const upstream_version& version) const;
    /** @return Nodes that are alive beside an upstream of the service, in order of id. */
    [[nodiscard]] std::vector<node_id> service_nodes(const service_name& service) const;
    /** @return Nodes of a data centre that are alive, this node included, in order of id. */
    [[nodiscard]] const std::vector<node_id>& alive_in(const data_centre& name) const;
    /** @return Nodes that are alive, this node included, in order of id. */
    [[nodiscard]] std::vector<node_id> alive() const;

    /**
     * @brief Takes bytes from the budget for control traffic outside this module.
     * @return False if the bytes must not be sent now.
     */
    [[nodiscard]] bool spend(size_type bytes, control_priority priority, time_sample now);

    [[nodiscard]] const membership_counters& counts() const noexcept;

private:
    std::unique_ptr<internal::membership_state> state_;
};

} // namespace goldcrestwell

#endif
