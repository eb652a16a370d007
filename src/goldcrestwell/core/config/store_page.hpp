#ifndef GOLDCRESTWELL_CORE_CONFIG_STORE_PAGE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_STORE_PAGE_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/operator_record.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief How a read from the store ended. */
enum class read_outcome : std::uint8_t {
    ok,
    expired, /**< The records asked for are no longer kept; the newest of each key are. */
    failed   /**< Refused, unreachable, too late or unreadable. */
};

/** @brief Records read from one topic of the store. */
struct store_page {
    read_outcome outcome{read_outcome::failed};
    std::vector<operator_record> records;
    /** @brief Number of records that the topic has had. */
    log_offset end;
};

} // namespace goldcrestwell

#endif
