#include "goldcrestwell/shell/caller_listener.hpp"

#include "goldcrestwell/core/node/node.hpp"

#include <utility>

namespace goldcrestwell {

caller_listener::caller_listener(event_loop& loop, node& core, caller_listener_options options)
    : loop_{loop}, core_{core}, options_{std::move(options)}, server_{loop, [this] {
                                                                          auto server = options_.server;
                                                                          server.on_request =
                                                                              [this](const auto& exchange) {
                                                                                  serve(exchange);
                                                                              };
                                                                          return server;
                                                                      }()} {}

void caller_listener::serve(const std::shared_ptr<http_exchange>& exchange) {
    auto call = options_.to_call(*exchange);
    if (!call) {
        exchange->reply(
            options_.to_response(call_refusal{.reason = refusal_reason::bad_request, .state = run_state::not_run}));
        return;
    }
    const auto reply = [this, exchange](const call_result& result) {
        exchange->reply(options_.to_response(result));
    };
    const auto id = core_.on_call(std::move(*call), reply, loop_.now());
    if (exchange->open()) {
        exchange->on_disconnect([this, id] { core_.on_call_cancelled(id, loop_.now()); });
    }
}

} // namespace goldcrestwell
