#ifndef GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_STATUS_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_STATUS_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Progress of an attempt; for an answered attempt the reply is sent again instead. */
enum class attempt_progress : std::uint8_t { never_seen, queued, running, lost };

/** @brief Response to an `attempt_query`. */
struct attempt_status {
    attempt_id id;
    attempt_progress progress{attempt_progress::lost};

    [[nodiscard]] friend bool operator==(const attempt_status&, const attempt_status&) = default;
};

} // namespace goldcrestwell

#endif
