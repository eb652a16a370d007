#include "goldcrestwell/shell/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace goldcrestwell {

void disable_nagle(const int descriptor) noexcept {
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace goldcrestwell
