#ifndef GOLDCRESTWELL_CORE_MESSAGE_DATAGRAM_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_DATAGRAM_HPP

#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/member.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief Purpose of a datagram. */
enum class datagram_kind : std::uint8_t { ping, ack, ping_request, push };

/** @brief Membership message over UDP with gossiped member records and rollout states. */
struct datagram {
    datagram_kind kind{datagram_kind::ping};
    node_id sender;
    incarnation start_incarnation;
    /** @brief Matches an ack with its ping. */
    std::uint32_t sequence{};
    /** @brief Node to be probed by a ping request, or node for which an ack is sent. */
    node_id target;
    /** @brief Offset of the last log record that the sender has read. */
    log_offset position;
    std::vector<member> members;
    std::vector<rollout_update> rollouts;

    [[nodiscard]] friend bool operator==(const datagram&, const datagram&) = default;
};

} // namespace goldcrestwell

#endif
