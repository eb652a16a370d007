#ifndef GOLDCRESTWELL_CORE_MESSAGE_MEMBER_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_MEMBER_HPP

#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/member_status.hpp"
#include "goldcrestwell/core/message/upstream_info.hpp"

#include <optional>

namespace goldcrestwell {

/** @brief Membership record of a node. */
struct member {
    node_id id;
    /** @brief Incarnation at process start; changes only when the process restarts. */
    goldcrestwell::incarnation start_incarnation;
    /** @brief Generation of this record; at least `start_incarnation`. */
    goldcrestwell::incarnation incarnation;
    member_status status{member_status::alive};
    goldcrestwell::data_centre data_centre;
    goldcrestwell::region region;
    /** @brief Local upstream, if one has announced itself. */
    std::optional<upstream_info> upstream;

    [[nodiscard]] friend bool operator==(const member&, const member&) = default;
};

} // namespace goldcrestwell

#endif
