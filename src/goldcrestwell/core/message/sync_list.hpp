#ifndef GOLDCRESTWELL_CORE_MESSAGE_SYNC_LIST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_SYNC_LIST_HPP

#include "goldcrestwell/core/message/record_version.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Response to a `sync_digest`: the sender's records in buckets that differ. */
struct sync_list {
    std::vector<record_version> records;
    /** @brief Whether more buckets differ than fit into the list. */
    bool more{};

    [[nodiscard]] friend bool operator==(const sync_list&, const sync_list&) = default;
};

} // namespace goldcrestwell

#endif
