#include "goldcrestwell/shell/start_failure.hpp"

namespace goldcrestwell {

std::string_view to_string(const start_failure value) noexcept {
    switch (value) {
    case start_failure::none:
        return "none";
    case start_failure::peer_listener:
        return "peer_listener";
    case start_failure::gossip_socket:
        return "gossip_socket";
    case start_failure::caller_listener:
        return "caller_listener";
    case start_failure::admin_listener:
        return "admin_listener";
    case start_failure::announcement_listener:
        return "announcement_listener";
    }
    return "invalid";
}

} // namespace goldcrestwell
