#ifndef GOLDCRESTWELL_PLATFORM_PLATFORM_LISTENER_HPP
#define GOLDCRESTWELL_PLATFORM_PLATFORM_LISTENER_HPP

#include "goldcrestwell/core/message/upstream_announcement.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_server.hpp"

#include <functional>
#include <string_view>

namespace goldcrestwell {

/** @brief Endpoints and hooks of a `platform_listener`. */
struct platform_listener_options {
    using answer_hook = std::function<void(bool acknowledged)>;

    endpoint ready_endpoint;
    endpoint announcement_endpoint;
    /** @brief Maximum number of open connections of each endpoint. */
    std::size_t max_connections{64};
    /** @brief Budget for connections and requests; if null, only the limits apply. */
    std::shared_ptr<memory_budget> memory;
    std::function<bool()> is_ready;
    /** @brief Called for an announcement; calls `answer` once, which acknowledges it or asks the upstream to repeat it.
     */
    std::function<void(const upstream_announcement& announcement, const answer_hook& answer)> on_announcement;
    /** @brief Called when the upstream with the given id withdraws its announcement; answered in the same way. */
    std::function<void(std::string_view id, const answer_hook& answer)> on_withdrawal;
    /** @brief Called when a request holds no valid announcement. */
    std::function<void(std::string_view id)> on_invalid_announcement;
};

/** @brief Serves the readiness check of the platform and receives the announcements of the local upstream. */
class platform_listener {
public:
    platform_listener(event_loop& loop, platform_listener_options options);

    /** @return True if both servers are listening. */
    [[nodiscard]] bool start();

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    void serve_ready(const exchange_pointer& exchange) const;
    void serve_announcement(const exchange_pointer& exchange) const;

    platform_listener_options options_;
    http_server ready_server_;
    http_server announcement_server_;
};

} // namespace goldcrestwell

#endif
