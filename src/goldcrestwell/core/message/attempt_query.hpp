#ifndef GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_QUERY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_QUERY_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"

namespace goldcrestwell {

/** @brief Asks what became of an attempt. */
struct attempt_query {
    attempt_id id;
    /** @brief Life of the receiving node as the sender knew it. */
    incarnation target_incarnation;

    [[nodiscard]] friend bool operator==(const attempt_query&, const attempt_query&) = default;
};

} // namespace goldcrestwell

#endif
