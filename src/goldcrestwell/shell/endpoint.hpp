#ifndef GOLDCRESTWELL_SHELL_ENDPOINT_HPP
#define GOLDCRESTWELL_SHELL_ENDPOINT_HPP

#include "goldcrestwell/core/common/node_id.hpp"

#include <cstdint>
#include <string>

namespace goldcrestwell {

/** @brief IPv4 address and TCP or UDP port of a socket. */
struct endpoint {
    std::string address;
    std::uint16_t port{};

    [[nodiscard]] friend bool operator==(const endpoint&, const endpoint&) = default;
};

/** @brief Returns the peer endpoint of a node. */
[[nodiscard]] endpoint to_endpoint(node_id id);

} // namespace goldcrestwell

#endif
