#include "goldcrestwell/shell/upstream_client.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

call_request without_body(const call_request& call) {
    return {.method = call.method,
            .host = call.host,
            .request_id = call.request_id,
            .target = call.target,
            .timeout = call.timeout};
}

} // namespace

upstream_client::upstream_client(event_loop& loop, upstream_client_options options)
    : loop_{loop}, options_{std::move(options)} {}

void upstream_client::set_upstream(const endpoint& address, const std::size_t max_connections) {
    if (!(address == address_)) {
        idle_.clear();
    }
    address_ = address;
    max_connections_ = std::min(max_connections, options_.max_connections);
}

void upstream_client::start(const attempt_id& id, const call_request& call, const std::chrono::milliseconds timeout) {
    auto connection = take_connection();
    if (connection == nullptr) {
        loop_.defer([this, id] { options_.on_result(id, {.outcome = upstream_outcome::not_sent}); });
        return;
    }
    auto& active_connection = *connection;
    active_.insert_or_assign(id, std::move(connection));
    active_connection.send({.method = call.method,
                            .target = call.target,
                            .headers = options_.headers(call, timeout),
                            .body = call.body,
                            .timeout = timeout},
                           [this, id, request_head = without_body(call)](const upstream_result& result) {
                               finish(id, apply_judge(request_head, result));
                           });
}

upstream_result upstream_client::apply_judge(const call_request& call, const upstream_result& result) const {
    if (result.outcome != upstream_outcome::answered || !options_.classify_response) {
        return result;
    }
    const auto outcome = options_.classify_response(call, result.response);
    return outcome == upstream_outcome::answered ? result : upstream_result{.outcome = outcome};
}

void upstream_client::abort(const attempt_id& id) {
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    found->second->cancel();
    active_.erase(found);
    loop_.defer([this, id] { options_.on_result(id, {.outcome = upstream_outcome::reset}); });
}

std::unique_ptr<http_connection> upstream_client::take_connection() {
    close_stale_connections(loop_.now().steady);
    if (!idle_.empty()) {
        auto connection = std::move(idle_.back().connection);
        idle_.pop_back();
        return connection;
    }
    if (address_.port == 0 || active_.size() >= max_connections_) {
        return nullptr;
    }
    return std::make_unique<http_connection>(
        loop_, address_,
        http_connection_options{.max_response_bytes = options_.max_response_bytes,
                                .accept_close_delimited = options_.accept_close_delimited,
                                .connect_timeout = options_.connect_timeout});
}

void upstream_client::finish(const attempt_id& id, const upstream_result& result) {
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    // After an invalid response the connection may still carry bytes of another response.
    if (found->second->idle() && result.outcome != upstream_outcome::invalid) {
        idle_.push_back({.connection = std::move(found->second), .since = loop_.now().steady});
    }
    active_.erase(found);
    options_.on_result(id, result);
}

void upstream_client::close_stale_connections(const steady_time now) {
    std::erase_if(idle_, [this, now](const idle_connection& entry) {
        return now - entry.since > options_.max_idle_time || entry.connection->broken();
    });
}

} // namespace goldcrestwell
