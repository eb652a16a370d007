#ifndef GOLDCRESTWELL_CORE_MESSAGE_SYNC_LIST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_SYNC_LIST_HPP

#include "goldcrestwell/core/message/record_version.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Answer to a `sync_digest`: records of the sender in buckets that differ. */
struct sync_list {
    std::vector<record_version> records;
    /** @brief More buckets differ than fit into the list. */
    bool more{};

    [[nodiscard]] friend bool operator==(const sync_list&, const sync_list&) = default;
};

} // namespace goldcrestwell

#endif
