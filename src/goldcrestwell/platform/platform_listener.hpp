#ifndef GOLDCRESTWELL_PLATFORM_PLATFORM_LISTENER_HPP
#define GOLDCRESTWELL_PLATFORM_PLATFORM_LISTENER_HPP

#include "goldcrestwell/core/message/upstream_announcement.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_server.hpp"

#include <functional>
#include <string_view>

namespace goldcrestwell {

/** @brief Addresses and hooks of the calls that the platform and the upstream on this host make to the node. */
struct platform_listener_options {
    endpoint ready;
    endpoint announcements;
    std::function<bool()> is_ready;
    std::function<void(const upstream_announcement& announcement)> on_announcement;
    /** @brief The upstream with this id is about to end. */
    std::function<void(std::string_view id)> on_leaving;
    /** @brief An announcement could not be read. */
    std::function<void(std::string_view id)> on_unreadable;
};

/** @brief Answers whether the node is ready, and takes the announcements of the upstream on this host. */
class platform_listener {
public:
    platform_listener(event_loop& loop, platform_listener_options options);

    /** @return True if both sockets could be bound. */
    [[nodiscard]] bool start();

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    void serve_ready(const exchange_pointer& exchange) const;
    void serve_instance(const exchange_pointer& exchange) const;

    platform_listener_options options_;
    http_server ready_;
    http_server announcements_;
};

} // namespace goldcrestwell

#endif
