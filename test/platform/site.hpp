#ifndef GOLDCRESTWELL_TEST_PLATFORM_SITE_HPP
#define GOLDCRESTWELL_TEST_PLATFORM_SITE_HPP

#include "goldcrestwell/platform/sidecar.hpp"
#include "goldcrestwell/shell/http_connection.hpp"
#include "platform/store_stand_in.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Store, upstreams and sidecars on loopback, served by one loop. */
class site {
public:
    using upstream_hook = std::function<void(const std::shared_ptr<http_exchange>&)>;

    /** @brief One host: a sidecar and the upstream beside it. */
    struct host {
        sidecar_settings settings;
        std::string upstream_id;
        std::string version{"v1"};
        std::uint64_t sequence{};
        std::size_t runs{};
        upstream_hook answer;
        std::unique_ptr<http_server> upstream;
        std::unique_ptr<sidecar> process;
    };

    site();

    /** @brief Adds a host whose upstream answers each request with its id, a signature and `hello`. */
    host& add_host(const std::string& service);
    /** @brief Starts a sidecar that is not running, or another one in its place. */
    void start(host& where);
    /** @return Status of the heartbeat's answer. */
    std::uint32_t announce(host& where, const std::string& state = "ready");
    /** @return Status of `GET` on the ready address. */
    std::uint32_t ready(const host& where);
    /** @return Body of `GET /status` on the admin address. */
    std::string status(const host& where);
    /** @brief Sends a request to the caller listener of a host. */
    upstream_result call(const host& where, const std::string& method, const std::string& target,
                         const std::string& id = "id-1", std::chrono::milliseconds deadline = std::chrono::seconds{2});
    /** @return False if the condition does not hold within ten seconds. */
    bool wait_for(const std::function<bool()>& condition);
    void run_for(std::chrono::milliseconds time);
    /** @brief Writes a configuration with a route of each kind to a service. */
    void configure(std::uint64_t version, const std::string& service, const std::string& prefix = "/read/");

    event_loop loop;
    std::uint16_t store_port;
    store_stand_in store;
    std::vector<std::unique_ptr<host>> hosts;

private:
    upstream_result send(const endpoint& to, const http_client_request& request);
};

} // namespace goldcrestwell::test

#endif
