#include "goldcrestwell/shell/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace goldcrestwell {

namespace {

// A connection is closed after one idle second and one unacknowledged probe. The longest network path takes some tens
// of milliseconds.
constexpr std::chrono::seconds keepalive_idle_time{1};
constexpr std::chrono::seconds keepalive_interval{1};
constexpr int keepalive_probe_count = 1;
// Maximum time that sent data may stay unacknowledged before the connection is closed.
constexpr std::chrono::milliseconds user_timeout{2'000};

// The kernel doubles the value to account for its own structures.
constexpr int receive_buffer_bytes = 32'768;
constexpr int max_unsent_bytes = 131'072;

void set_option(const int descriptor, const int level, const int name, const int value) noexcept {
    setsockopt(descriptor, level, name, &value, sizeof(value));
}

} // namespace

void disable_nagle(const int descriptor) noexcept {
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
}

void limit_unsent_bytes(const int descriptor) noexcept {
    set_option(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, max_unsent_bytes);
}

void limit_receive_buffer(const int descriptor) noexcept {
    set_option(descriptor, SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes);
}

void tune_stream(const int descriptor) noexcept {
    disable_nagle(descriptor);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(keepalive_idle_time.count()));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(keepalive_interval.count()));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probe_count);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(user_timeout.count()));
}

} // namespace goldcrestwell
