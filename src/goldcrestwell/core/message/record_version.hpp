#ifndef GOLDCRESTWELL_CORE_MESSAGE_RECORD_VERSION_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_RECORD_VERSION_HPP

#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/member_status.hpp"

namespace goldcrestwell {

/** @brief Fields of a member record that decide which of two records is newer. */
struct record_version {
    node_id id;
    goldcrestwell::incarnation incarnation;
    member_status status{member_status::alive};

    [[nodiscard]] friend bool operator==(const record_version&, const record_version&) = default;
};

} // namespace goldcrestwell

#endif
