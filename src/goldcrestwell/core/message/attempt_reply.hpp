#ifndef GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_REPLY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_REPLY_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/message/call_result.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Result of an attempt, sent by the node of the upstream. */
struct attempt_reply {
    attempt_id id;
    call_result result;
    /** @brief Number of calls running and queued at the upstream's node when the reply was created. */
    std::uint32_t load{};

    [[nodiscard]] friend bool operator==(const attempt_reply&, const attempt_reply&) = default;
};

} // namespace goldcrestwell

#endif
