#ifndef GOLDCRESTWELL_TEST_CROWD_CROWD_CLUSTER_HPP
#define GOLDCRESTWELL_TEST_CROWD_CROWD_CLUSTER_HPP

#include "crowd/raw_client.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/http_server.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "platform/fake_store.hpp"
#include "system/child_process.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Responds with the number of bytes of the request's body. */
void reply_with_size(const std::shared_ptr<http_exchange>& exchange);

/** @brief Responds as an upstream does. */
void reply_signed(const std::shared_ptr<http_exchange>& exchange, std::string body);

/** @brief Limits of the hosts and of the callers of a `crowd_cluster`. */
struct crowd_cluster_options {
    std::size_t memory_mb{96};
    std::size_t max_fds{1'000};
    std::size_t max_body_bytes{std::size_t{8} << 20U};
    std::chrono::milliseconds idle_timeout{15'000};
};

/** @brief Resources that a process has used. */
struct process_resources {
    std::size_t peak_memory_bytes{};
    std::size_t descriptors{};
};

/**
 * @brief Two sidecars as child processes, with their store and upstreams in this process.
 *
 * Callers use the front host; the upstream of the back host serves the routes `/order/` and `/read/`. By default, it
 * responds with the number of bytes of the request's body.
 */
class crowd_cluster {
public:
    using request_handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

    struct host {
        std::string service;
        std::uint16_t peer_port{};
        std::uint16_t caller_port{};
        std::uint16_t ready_port{};
        std::uint16_t announcement_port{};
        std::uint16_t admin_port{};
        std::uint16_t upstream_port{};
        std::uint64_t sequence{};
        std::unique_ptr<http_server> upstream;
        std::unique_ptr<http_connection> announcement;
        std::unique_ptr<child_process> process;
    };

    explicit crowd_cluster(crowd_cluster_options options = {});
    ~crowd_cluster();

    crowd_cluster(const crowd_cluster&) = delete;
    crowd_cluster& operator=(const crowd_cluster&) = delete;

    [[nodiscard]] host& front() noexcept { return front_; }
    [[nodiscard]] host& back() noexcept { return back_; }
    void handle_requests(request_handler handler) { handler_ = std::move(handler); }
    /** @brief Stops the upstream of the back host; the test may then serve its port. */
    void stop_upstream() { back_.upstream.reset(); }
    /** @brief Stops the store; the test may then serve its port. */
    void stop_store() { store_.reset(); }
    [[nodiscard]] std::uint16_t store_port() const noexcept { return store_port_; }

    [[nodiscard]] bool wait_for(const std::function<bool()>& condition,
                                std::chrono::seconds timeout = std::chrono::seconds{60});
    void run_for(std::chrono::milliseconds duration);
    /** @brief Sends one request over a new connection and waits for its result. */
    [[nodiscard]] upstream_result request(std::uint16_t port, const http_client_request& request);
    /** @brief Sends one request that an ordinary caller sends to a host. */
    [[nodiscard]] upstream_result ordinary_request(const host& target);
    [[nodiscard]] std::vector<std::unique_ptr<raw_client>> connect(std::uint16_t port, std::size_t count);
    /** @brief Waits until each client has sent all of its bytes, has a response or was closed. */
    void wait_until_sent(const std::vector<std::unique_ptr<raw_client>>& clients);
    /** @brief Checks that both processes live within their limits and that ordinary requests to both are answered. */
    void check_survival();

    event_loop loop;

private:
    void start(host& target, const std::string& service);
    void announce(host& target);
    void announce_all();
    void write_config();
    [[nodiscard]] bool is_ready(const host& target);

    crowd_cluster_options options_;
    std::filesystem::path directory_;
    std::uint16_t store_port_;
    std::unique_ptr<fake_store> store_;
    request_handler handler_{reply_with_size};
    std::size_t request_count_{};
    host front_;
    host back_;
    timer announcement_timer_;
};

/** @return Head of a request with a body; `framing` is its `Content-Length` or `Transfer-Encoding` line. */
[[nodiscard]] std::string upload_head(const std::string& id, const std::string& framing);

[[nodiscard]] process_resources resources_of(const child_process& process);

} // namespace goldcrestwell::test

#endif
