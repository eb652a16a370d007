#include "goldcrestwell/shell/caller_server.hpp"

#include "goldcrestwell/shell/socket_options.hpp"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <numeric>
#include <utility>

namespace goldcrestwell {

namespace {

constexpr int listen_backlog = 1024;

} // namespace

void caller_server::listener_deleter::operator()(evconnlistener* handle) const noexcept {
    evconnlistener_free(handle);
}

caller_server::caller_server(event_loop& loop, caller_server_options options)
    : loop_{loop}, options_{std::move(options)} {}

caller_server::~caller_server() = default;

bool caller_server::start() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options_.port);
    if (inet_pton(AF_INET, options_.address.c_str(), &address.sin_addr) != 1) {
        return false;
    }
    const auto accepted = [](evconnlistener* /*unused*/, const evutil_socket_t descriptor, sockaddr* /*unused*/,
                             int /*unused*/, void* argument) {
        static_cast<caller_server*>(argument)->accept(descriptor);
    };
    listener_.reset(evconnlistener_new_bind(loop_.base(), accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                            listen_backlog, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    return listener_ != nullptr;
}

void caller_server::set_limits(const caller_limits& limits) {
    options_.limits = limits;
    for (const auto& [connection_number, connection] : connections_) {
        connection->set_limits(limits);
    }
}

void caller_server::close_connections() {
    closing_ = true;
    for (const auto& [connection_number, connection] : connections_) {
        connection->close_after_response();
    }
}

void caller_server::stop_accepting() {
    listener_.reset();
}

std::size_t caller_server::in_progress() const noexcept {
    return std::accumulate(connections_.begin(), connections_.end(), std::size_t{},
                           [](const std::size_t sum, const auto& item) { return sum + item.second->in_progress(); });
}

void caller_server::accept(const int descriptor) {
    if (connections_.size() >= options_.max_connections) {
        evutil_closesocket(descriptor);
        return;
    }
    tune_stream(descriptor);
    const auto connection_number = ++last_connection_number_;
    auto connection = std::make_unique<caller_connection>(
        loop_, descriptor,
        caller_connection_options{
            .limits = options_.limits, .on_request = options_.on_request, .on_closed = [this, connection_number] {
                remove_connection(connection_number);
            }});
    if (closing_) {
        connection->close_after_next_request();
    }
    connections_.emplace(connection_number, std::move(connection));
}

void caller_server::remove_connection(const std::uint64_t connection_number) {
    // Destroyed later because one of its callbacks may be running.
    auto found = connections_.extract(connection_number);
    if (!found.empty()) {
        loop_.defer([connection = std::shared_ptr<caller_connection>{std::move(found.mapped())}] {});
    }
}

} // namespace goldcrestwell
