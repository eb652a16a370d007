#ifndef GOLDCRESTWELL_CORE_MESSAGE_HELLO_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_HELLO_HPP

#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/node_id.hpp"

namespace goldcrestwell {

/** @brief First frame on a connection between nodes. */
struct hello {
    node_id sender;
    incarnation start_incarnation;

    [[nodiscard]] friend bool operator==(const hello&, const hello&) = default;
};

} // namespace goldcrestwell

#endif
