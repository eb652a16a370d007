#ifndef GOLDCRESTWELL_TEST_PLATFORM_FREE_PORT_HPP
#define GOLDCRESTWELL_TEST_PLATFORM_FREE_PORT_HPP

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <set>

namespace goldcrestwell::test {

/** @return A TCP port of 127.0.0.1 on which no process listens, another one at each call. */
inline std::uint16_t free_port() {
    // The kernel may select a port again that was closed, but not used yet, by an earlier call.
    static std::set<std::uint16_t> returned_ports;
    for (;;) {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        static_cast<void>(bind(descriptor, reinterpret_cast<sockaddr*>(&address), size));
        static_cast<void>(getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size));
        static_cast<void>(close(descriptor));
        if (returned_ports.insert(ntohs(address.sin_port)).second) {
            return ntohs(address.sin_port);
        }
    }
}

} // namespace goldcrestwell::test

#endif
