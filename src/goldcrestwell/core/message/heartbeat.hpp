#ifndef GOLDCRESTWELL_CORE_MESSAGE_HEARTBEAT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_HEARTBEAT_HPP

namespace goldcrestwell {

/** @brief Asks the other end of a connection to show that it still receives. */
struct heartbeat {
    [[nodiscard]] friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/** @brief Answer to a heartbeat. */
struct heartbeat_ack {
    [[nodiscard]] friend bool operator==(const heartbeat_ack&, const heartbeat_ack&) = default;
};

} // namespace goldcrestwell

#endif
