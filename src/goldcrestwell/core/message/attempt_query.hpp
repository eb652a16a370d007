#ifndef GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_QUERY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_QUERY_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"

namespace goldcrestwell {

/** @brief Requests the status of an attempt. */
struct attempt_query {
    attempt_id id;
    /** @brief Start incarnation of the receiving node as known to the sender. */
    incarnation target_incarnation;

    [[nodiscard]] friend bool operator==(const attempt_query&, const attempt_query&) = default;
};

} // namespace goldcrestwell

#endif
