#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBER_ORDER_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBER_ORDER_HPP

#include "goldcrestwell/core/message/member.hpp"

namespace goldcrestwell {

/** @brief Checks whether `left` replaces `right`, a record of the same node. */
[[nodiscard]] constexpr bool supersedes(const member& left, const member& right) noexcept {
    if (left.incarnation != right.incarnation) {
        return left.incarnation > right.incarnation;
    }
    return left.status > right.status;
}

/** @brief Checks whether a record is kept only so that stale records do not revive the member. */
[[nodiscard]] constexpr bool is_tombstone(const member_status status) noexcept {
    return status == member_status::dead || status == member_status::left;
}

} // namespace goldcrestwell

#endif
