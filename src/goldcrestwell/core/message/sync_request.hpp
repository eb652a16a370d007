#ifndef GOLDCRESTWELL_CORE_MESSAGE_SYNC_REQUEST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_SYNC_REQUEST_HPP

#include "goldcrestwell/core/common/node_id.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Requests the member records of nodes; the response is a `sync_state`. */
struct sync_request {
    std::vector<node_id> ids;

    [[nodiscard]] friend bool operator==(const sync_request&, const sync_request&) = default;
};

} // namespace goldcrestwell

#endif
