#ifndef GOLDCRESTWELL_SHELL_ADMIN_LISTENER_HPP
#define GOLDCRESTWELL_SHELL_ADMIN_LISTENER_HPP

#include "goldcrestwell/core/node/fwd.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_server.hpp"
#include "goldcrestwell/shell/upstream_client.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace goldcrestwell {

/** @brief HTTP listener for operators, the command line and the local upstream. */
class admin_listener {
public:
    admin_listener(event_loop& loop, node& core, upstream_client& upstream, http_server_options options);

    [[nodiscard]] bool start() { return server_.start(); }

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;
    using handler = std::function<void(const exchange_pointer&)>;

    void serve(const exchange_pointer& exchange);
    void show_status(const exchange_pointer& exchange) const;
    void show_metrics(const exchange_pointer& exchange) const;
    void show_ready(const exchange_pointer& exchange) const;
    void show_table(const exchange_pointer& exchange) const;
    void apply_edit(const exchange_pointer& exchange);
    void show_result(const exchange_pointer& exchange) const;
    void announce(const exchange_pointer& exchange);
    void withdraw(const exchange_pointer& exchange);

    event_loop& loop_;
    node& core_;
    upstream_client& upstream_;
    std::shared_ptr<memory_budget> memory_;
    /** @brief Handlers by method and path, such as `GET /status`. */
    std::map<std::string, handler> handlers_;
    http_server server_;
};

} // namespace goldcrestwell

#endif
