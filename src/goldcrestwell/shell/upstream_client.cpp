#include "goldcrestwell/shell/upstream_client.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrestwell {

namespace {

// Bounds the memory for the ids of refused requests.
constexpr std::size_t max_refusals_per_connection = 32;
// Input buffer and objects of a connection.
constexpr std::size_t connection_memory = 32'768;

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
    auto pooled = take_connection(call.request_id);
    if (pooled.connection == nullptr) {
        loop_.defer([this, id] { options_.on_result(id, {.outcome = upstream_outcome::not_sent}); });
        return;
    }
    auto& connection = *pooled.connection;
    active_.insert_or_assign(id, std::move(pooled));
    connection.send({.method = call.method,
                     .target = call.target,
                     .headers = options_.headers(call, timeout),
                     .body = call.body,
                     .timeout = timeout},
                    [this, id, request_head = without_body(call)](const upstream_result& result) {
                        on_response(id, request_head, result);
                    });
}

response_verdict upstream_client::judge(const call_request& call, const upstream_result& result) const {
    if (result.outcome != upstream_outcome::answered || !options_.classify_response) {
        return {.outcome = result.outcome};
    }
    return options_.classify_response(call, result.response);
}

void upstream_client::abort(const attempt_id& id) {
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    found->second.connection->cancel();
    active_.erase(found);
    loop_.defer([this, id] { options_.on_result(id, {.outcome = upstream_outcome::reset}); });
}

upstream_client::pooled_connection upstream_client::take_connection(const std::string& request_id) {
    close_stale_connections(loop_.now().steady);
    const auto usable = std::find_if(idle_.rbegin(), idle_.rend(), [&request_id](const pooled_connection& pooled) {
        return std::ranges::find(pooled.refused_ids, request_id) == pooled.refused_ids.end();
    });
    if (usable != idle_.rend()) {
        auto pooled = std::move(*usable);
        idle_.erase(std::next(usable).base());
        return pooled;
    }
    if (address_.port == 0 || active_.size() >= max_connections_) {
        return {};
    }
    if (!idle_.empty()) {
        // The upstream limits the number of connections.
        idle_.erase(idle_.begin());
    }
    pooled_connection pooled{.memory = memory_reservation{options_.memory}};
    if (!pooled.memory.resize(connection_memory, memory_use::small)) {
        return {};
    }
    pooled.connection = std::make_unique<http_connection>(
        loop_, address_,
        http_connection_options{.max_response_bytes = options_.max_response_bytes,
                                .memory = options_.memory,
                                .accept_close_delimited = options_.accept_close_delimited,
                                .connect_timeout = options_.connect_timeout});
    return pooled;
}

void upstream_client::on_response(const attempt_id& id, const call_request& call, const upstream_result& result) {
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    const auto verdict = judge(call, result);
    auto pooled = std::move(found->second);
    active_.erase(found);
    const auto refused = verdict.outcome == upstream_outcome::rejected;
    // After an invalid response the connection may still carry bytes of another response.
    const auto reusable = verdict.outcome != upstream_outcome::invalid && (verdict.identified || !refused) &&
                          pooled.refused_ids.size() < max_refusals_per_connection;
    if (pooled.connection->idle() && reusable) {
        if (refused) {
            pooled.refused_ids.push_back(call.request_id);
        }
        pooled.idle_since = loop_.now().steady;
        idle_.push_back(std::move(pooled));
    }
    options_.on_result(id, verdict.outcome == upstream_outcome::answered ? result
                                                                         : upstream_result{.outcome = verdict.outcome});
    if (verdict.misdirected && options_.on_misdirected) {
        options_.on_misdirected();
    }
}

void upstream_client::close_stale_connections(const steady_time now) {
    std::erase_if(idle_, [this, now](const pooled_connection& pooled) {
        return now - pooled.idle_since > options_.max_idle_time || pooled.connection->broken();
    });
}

} // namespace goldcrestwell
