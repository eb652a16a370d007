#ifndef GOLDCRESTWELL_SHELL_NODE_PROCESS_HPP
#define GOLDCRESTWELL_SHELL_NODE_PROCESS_HPP

#include "goldcrestwell/core/node/node.hpp"
#include "goldcrestwell/shell/admin_listener.hpp"
#include "goldcrestwell/shell/caller_listener.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/gossip_socket.hpp"
#include "goldcrestwell/shell/log_client.hpp"
#include "goldcrestwell/shell/peer_transport.hpp"
#include "goldcrestwell/shell/start_failure.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "goldcrestwell/shell/upstream_client.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace goldcrestwell {

/** @brief Settings of everything round the core; the hooks of the parts are set by `node_process`. */
struct node_process_options {
    node_options core;
    caller_listener_options callers;
    http_server_options admin;
    log_client_options log;
    upstream_client_options upstream;
    /** @brief Longest time for a drain; calls still in progress are then cut. */
    std::chrono::milliseconds drain_limit{30'000};
    /** @brief Time of a drain after which the connections of callers are closed; zero waits for the end. */
    std::chrono::milliseconds close_callers_after{};
    /** @brief Called when the process begins a drain or ends one. */
    std::function<void()> on_drain;
};

/** @brief Joins the core with sockets and timers: the daemon without its settings and signals. */
class node_process {
public:
    node_process(event_loop& loop, node_process_options options);

    /** @return False if a socket could not be bound; see `last_reason`. */
    [[nodiscard]] bool start();
    [[nodiscard]] start_failure last_reason() const noexcept { return failure_; }

    /** @brief Begins a graceful shutdown; a second call ends it at once. The loop stops when it is over. */
    void drain();

    [[nodiscard]] node& core() noexcept { return core_; }
    [[nodiscard]] upstream_client& upstream() noexcept { return upstream_; }

    /** @return Calls that were cut by the end of the drain. */
    [[nodiscard]] std::size_t cut_calls() const noexcept { return cut_calls_; }

private:
    [[nodiscard]] node_options with_hooks(node_options options);
    void report(const node_event& event) const;
    void report(const table_changed& event) const;
    void report(const became_ready& event) const;
    void report(const edit_verdict& event) const;
    void report(const member& event) const;
    void report(const rollout_update& event) const;
    void report(const call_event& event) const;
    void report(const attempt_event& event) const;
    void report(const config_applied& event) const;
    void report(const rollout_requested& event) const;
    void report(const store_changed& event) const;
    void report(const record_unreadable& event) const;
    void check_drain();
    void finish_drain(std::size_t cut);

    event_loop& loop_;
    node_process_options options_;
    start_failure failure_{start_failure::none};
    std::size_t cut_calls_{};
    bool draining_{};
    bool finished_{};
    steady_time drain_ends_{};
    std::optional<steady_time> close_callers_at_;

    timer core_timer_;
    timer drain_timer_;
    gossip_socket gossip_;
    peer_transport peers_;
    log_client log_;
    upstream_client upstream_;
    node core_;
    caller_listener callers_;
    admin_listener admin_;
};

} // namespace goldcrestwell

#endif
