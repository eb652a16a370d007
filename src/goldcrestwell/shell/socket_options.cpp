#include "goldcrestwell/shell/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace goldcrestwell {

namespace {

// A connection counts as silent after one idle second and one probe without an answer; the longest way is some tens of
// milliseconds.
constexpr std::chrono::seconds probe_after{1};
constexpr std::chrono::seconds probe_interval{1};
constexpr int probes = 1;
// Bytes that stay unacknowledged for longer end the connection.
constexpr std::chrono::milliseconds unacknowledged_limit{2'000};

void set_option(const int descriptor, const int level, const int name, const int value) noexcept {
    setsockopt(descriptor, level, name, &value, sizeof(value));
}

} // namespace

void disable_nagle(const int descriptor) noexcept {
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
}

void tune_stream(const int descriptor) noexcept {
    disable_nagle(descriptor);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(probe_after.count()));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(probe_interval.count()));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged_limit.count()));
}

} // namespace goldcrestwell
