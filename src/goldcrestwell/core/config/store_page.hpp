#ifndef GOLDCRESTWELL_CORE_CONFIG_STORE_PAGE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_STORE_PAGE_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/operator_record.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief Outcome of a read from the store. */
enum class read_outcome : std::uint8_t {
    ok,
    expired, /**< The store does not have the records at the requested position. */
    failed   /**< The store refused the read, was unreachable, timed out or returned unreadable data. */
};

/** @brief Result of a read from one topic of the store. */
struct store_page {
    read_outcome outcome{read_outcome::failed};
    std::vector<operator_record> records;
    /** @brief Position after the last record; it holds the era of the response, unless the read failed. */
    log_offset end;
};

} // namespace goldcrestwell

#endif
