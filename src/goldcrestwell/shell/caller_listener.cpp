#include "goldcrestwell/shell/caller_listener.hpp"

#include "goldcrestwell/core/node/node.hpp"
#include "goldcrestwell/shell/call_mapping.hpp"

#include <utility>

namespace goldcrestwell {

caller_listener::caller_listener(event_loop& loop, node& core, caller_listener_options options)
    : loop_{loop}, core_{core}, default_timeout_{options.default_timeout},
      server_{loop, [this, &options] {
                  auto server = std::move(options.server);
                  server.on_request = [this](const std::shared_ptr<http_exchange>& exchange) {
                      serve(exchange);
                  };
                  return server;
              }()} {}

void caller_listener::serve(const std::shared_ptr<http_exchange>& exchange) {
    auto call = to_call(*exchange, default_timeout_);
    if (!call) {
        exchange->reply(to_http(call_refusal{.reason = refusal_reason::bad_request, .state = run_state::not_run}));
        return;
    }
    const auto reply = [exchange](const call_result& result) {
        exchange->reply(to_http(result));
    };
    const auto id = core_.on_call(std::move(*call), reply, loop_.now());
    if (exchange->open()) {
        exchange->on_gone([this, id] { core_.on_call_cancelled(id, loop_.now()); });
    }
}

} // namespace goldcrestwell
