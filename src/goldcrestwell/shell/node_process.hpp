#ifndef GOLDCRESTWELL_SHELL_NODE_PROCESS_HPP
#define GOLDCRESTWELL_SHELL_NODE_PROCESS_HPP

#include "goldcrestwell/core/common/memory_budget.hpp"
#include "goldcrestwell/core/node/node.hpp"
#include "goldcrestwell/shell/admin_listener.hpp"
#include "goldcrestwell/shell/call_log.hpp"
#include "goldcrestwell/shell/caller_listener.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/gossip_socket.hpp"
#include "goldcrestwell/shell/log_client.hpp"
#include "goldcrestwell/shell/log_field.hpp"
#include "goldcrestwell/shell/peer_transport.hpp"
#include "goldcrestwell/shell/start_failure.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "goldcrestwell/shell/upstream_client.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Options of the core, the sockets and the drain; `node_process` sets the hooks of these parts. */
struct node_process_options {
    node_options core;
    caller_listener_options callers;
    http_server_options admin;
    log_client_options log;
    upstream_client_options upstream;
    /** @brief Budget of all buffers that other processes fill; if null, only the limits of the parts apply. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Maximum number of connections with other nodes. */
    std::size_t max_peer_connections{20'000};
    /** @brief Maximum duration of a drain, after which calls in progress are aborted. */
    std::chrono::milliseconds drain_limit{30'000};
    /** @brief Delay after which a drain closes callers' connections; zero keeps them open until its end. */
    std::chrono::milliseconds caller_close_delay{};
    /** @brief Called when the process starts or ends a drain. */
    std::function<void()> on_drain;
};

/** @brief Connects the core to sockets and timers; does not read settings or handle signals. */
class node_process {
public:
    node_process(event_loop& loop, node_process_options options);
    ~node_process();

    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    /** @brief Opens all sockets; returns false if one could not be bound, see `last_reason`. */
    [[nodiscard]] bool start();
    [[nodiscard]] start_failure last_reason() const noexcept { return failure_; }

    /** @brief Starts a graceful shutdown, after which the loop stops; a second call ends it at once. */
    void drain();

    [[nodiscard]] node& core() noexcept { return core_; }
    [[nodiscard]] upstream_client& upstream() noexcept { return upstream_; }

    /** @brief Returns the number of calls aborted at the end of the drain. */
    [[nodiscard]] std::size_t aborted_calls() const noexcept { return aborted_calls_; }

private:
    [[nodiscard]] node_options with_hooks(node_options options);
    [[nodiscard]] peer_transport_options make_peer_options();
    [[nodiscard]] caller_listener_options make_caller_options();
    /** @brief Counts and logs a request that was refused before it was complete. */
    void report(http_parser_fault fault);
    /** @brief Appends a position to the fields of a line; a position in the store has an era. */
    void append_position(std::vector<log_field>& fields, std::string_view name, log_offset position) const;
    void report(const node_event& event);
    void report(const table_changed& event);
    void report(const became_ready& event);
    void report(const edit_verdict& event);
    void report(const member& event);
    void report(const rollout_update& event);
    void report(const call_event& event);
    void report(const attempt_event& event);
    void report(const config_applied& event);
    void report(const rollout_requested& event);
    void report(const store_changed& event);
    void report(const records_requested& event);
    void report(const departure_answered& event);
    void report(const record_unreadable& event);
    void report(const record_skipped& event);
    void report(const store_history_replaced& event);
    void report(const stale_store_response& event);
    void check_drain();
    void finish_drain(std::size_t aborted_calls);

    event_loop& loop_;
    node_process_options options_;
    start_failure failure_{start_failure::none};
    std::size_t aborted_calls_{};
    bool draining_{};
    bool drain_finished_{};
    steady_time drain_deadline_{};
    std::optional<steady_time> caller_close_at_;
    call_log call_log_;

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
