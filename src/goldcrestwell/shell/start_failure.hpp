#ifndef GOLDCRESTWELL_SHELL_START_FAILURE_HPP
#define GOLDCRESTWELL_SHELL_START_FAILURE_HPP

#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Socket that could not be bound at process start. */
enum class start_failure : std::uint8_t {
    none,
    peer_listener,
    gossip_socket,
    caller_listener,
    admin_listener,
    announcement_listener
};

/** @brief Returns the name of a start failure in log lines. */
[[nodiscard]] std::string_view to_string(start_failure value) noexcept;

} // namespace goldcrestwell

#endif
