#ifndef GOLDCRESTWELL_CORE_MESSAGE_HEARTBEAT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_HEARTBEAT_HPP

namespace goldcrestwell {

/** @brief Checks that the peer still receives on a connection. */
struct heartbeat {
    [[nodiscard]] friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/** @brief Response to a `heartbeat`. */
struct heartbeat_ack {
    [[nodiscard]] friend bool operator==(const heartbeat_ack&, const heartbeat_ack&) = default;
};

} // namespace goldcrestwell

#endif
