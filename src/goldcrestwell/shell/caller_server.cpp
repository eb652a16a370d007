#include "goldcrestwell/shell/caller_server.hpp"

#include "goldcrestwell/shell/socket_options.hpp"

#include <event2/util.h>

#include <chrono>
#include <numeric>
#include <utility>

namespace goldcrestwell {

namespace {

// Received bytes in the kernel and in the input buffer, and the objects of a connection.
constexpr std::size_t connection_memory = std::size_t{64} << 10U;
// An upload without progress for this time may be abandoned for another one.
constexpr std::chrono::seconds min_stall{1};

} // namespace

caller_server::caller_server(event_loop& loop, caller_server_options options)
    : loop_{loop}, options_{std::move(options)}, listener_{loop,
                                                           {.address = options_.address, .port = options_.port},
                                                           [this](const int descriptor) {
                                                               accept(descriptor);
                                                           }} {}

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

std::size_t caller_server::in_progress() const noexcept {
    return std::accumulate(connections_.begin(), connections_.end(), std::size_t{},
                           [](const std::size_t sum, const auto& item) { return sum + item.second->in_progress(); });
}

void caller_server::accept(const int descriptor) {
    memory_reservation reserved{options_.memory};
    const auto has_room = connections_.size() < options_.max_connections || replace_connection();
    if (!has_room || !reserved.resize(connection_memory, memory_use::small)) {
        evutil_closesocket(descriptor);
        return;
    }
    tune_stream(descriptor);
    limit_receive_buffer(descriptor);
    const auto connection_number = ++last_connection_number_;
    auto connection =
        std::make_unique<caller_connection>(loop_, descriptor,
                                            caller_connection_options{.limits = options_.limits,
                                                                      .memory = options_.memory,
                                                                      .connection_memory = std::move(reserved),
                                                                      .on_request = options_.on_request,
                                                                      .on_refused = options_.on_refused,
                                                                      .on_closed = [this, connection_number] {
                                                                          remove_connection(connection_number);
                                                                      }});
    if (closing_) {
        connection->close_after_next_request();
    }
    connections_.emplace(connection_number, std::move(connection));
}

caller_connection* caller_server::find_oldest(
    const std::function<std::optional<steady_time>(const caller_connection& connection)>& time_of,
    const steady_time limit) const {
    auto oldest = limit;
    caller_connection* found = nullptr;
    for (const auto& [connection_number, connection] : connections_) {
        if (const auto time = time_of(*connection); time && *time <= oldest) {
            oldest = *time;
            found = connection.get();
        }
    }
    return found;
}

// A large use must not displace uploads that make progress. A small one may: ordinary requests are complete soon, so
// the oldest incomplete request is the least likely to be one of them.
bool caller_server::reclaim(const memory_use use) {
    const auto now = loop_.now().steady;
    auto* victim =
        use == memory_use::large
            ? find_oldest(
                  [](const caller_connection& connection) {
                      return connection.incomplete_since() ? std::optional{connection.last_progress()} : std::nullopt;
                  },
                  now - min_stall)
            : find_oldest(&caller_connection::incomplete_since, now);
    if (victim == nullptr && use == memory_use::small) {
        victim = find_oldest(&caller_connection::idle_since, now);
    }
    if (victim == nullptr) {
        return false;
    }
    victim->abandon();
    return true;
}

// Callers send their requests as soon as they have connected, so the oldest connection without one is replaced first.
bool caller_server::replace_connection() {
    const auto now = loop_.now().steady;
    auto* victim = find_oldest(
        [](const caller_connection& connection) {
            return connection.lingering() ? std::optional{connection.last_progress()} : connection.idle_since();
        },
        now);
    if (victim == nullptr) {
        victim = find_oldest(&caller_connection::incomplete_since, now);
    }
    if (victim == nullptr) {
        return false;
    }
    victim->close();
    return true;
}

void caller_server::remove_connection(const std::uint64_t connection_number) {
    // Destroyed later because one of its callbacks may be running.
    auto found = connections_.extract(connection_number);
    if (!found.empty()) {
        loop_.defer([connection = std::shared_ptr<caller_connection>{std::move(found.mapped())}] {});
    }
}

} // namespace goldcrestwell
