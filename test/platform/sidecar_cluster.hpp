#ifndef GOLDCRESTWELL_TEST_PLATFORM_SIDECAR_CLUSTER_HPP
#define GOLDCRESTWELL_TEST_PLATFORM_SIDECAR_CLUSTER_HPP

#include "goldcrestwell/platform/sidecar.hpp"
#include "goldcrestwell/shell/http_connection.hpp"
#include "platform/fake_store.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Sidecars, their upstreams and a fake store on loopback, all served by one event loop. */
class sidecar_cluster {
public:
    using request_handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

    /** @brief Sidecar and its local upstream. */
    struct host {
        sidecar_settings settings;
        std::string upstream_id;
        std::string version{"v1"};
        std::uint64_t sequence{};
        /** @brief Start time of the upstream in Unix milliseconds. */
        std::uint64_t born{1'700'000'000'000};
        std::size_t run_count{};
        request_handler handle_request;
        std::unique_ptr<http_server> upstream;
        std::unique_ptr<sidecar> sidecar_process;
    };

    sidecar_cluster();

    /** @brief Adds a host whose upstream responds to each request with the request id, a signature and `hello`. */
    host& add_host(const std::string& service);
    /** @brief Starts or restarts the sidecar of a host. */
    void start(host& target_host);
    /**
     * @param change Changes the announcement before it is sent; may be empty.
     * @return Status of the response to an announcement.
     */
    std::uint32_t announce(host& target_host, const std::string& state = "ready",
                           const std::function<void(nlohmann::json& body)>& change = {});
    /** @return Status of the response to the withdrawal of the upstream's announcements. */
    std::uint32_t withdraw(const host& target_host);
    /** @return Status of `GET` on the ready address. */
    std::uint32_t ready(const host& target_host);
    /** @return Body of `GET /status` on the admin address. */
    std::string status(const host& target_host);
    /** @return Body of `GET /metrics` on the admin address. */
    std::string metrics(const host& target_host);
    /** @brief Sends a request to the caller listener of a host. */
    upstream_result call(const host& target_host, const std::string& method, const std::string& target,
                         const std::string& id = "id-1", std::chrono::milliseconds deadline = std::chrono::seconds{2});
    /** @brief Sends a request with a body to the caller listener of a host. */
    upstream_result upload(const host& target_host, const std::string& target, const std::string& id,
                           const std::string& body);
    /** @return False if the condition does not hold within ten seconds. */
    bool wait_for(const std::function<bool()>& condition);
    void run_for(std::chrono::milliseconds duration);
    /** @brief Writes a configuration to the store: one idempotent and one non-idempotent route to a service. */
    void write_config(std::uint64_t version, const std::string& service, const std::string& prefix = "/read/",
                      std::size_t max_body_bytes = 1'048'576);

    event_loop loop;
    std::uint16_t store_port;
    fake_store store;
    std::vector<std::unique_ptr<host>> hosts;

private:
    upstream_result send(const endpoint& server, const http_client_request& request);
};

} // namespace goldcrestwell::test

#endif
