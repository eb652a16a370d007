#ifndef GOLDCRESTWELL_CORE_MESSAGE_OPERATOR_RECORD_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_OPERATOR_RECORD_HPP

#include "goldcrestwell/core/common/log_offset.hpp"

#include <string>

namespace goldcrestwell {

/** @brief Record written by operators to the platform's store, in the platform's encoding. */
struct operator_record {
    /** @brief Number of records up to and including this one, so that zero is the position before the first record. */
    log_offset offset;
    std::string key;
    /** @brief Empty if the key was deleted. */
    std::string payload;

    [[nodiscard]] friend bool operator==(const operator_record&, const operator_record&) = default;
};

} // namespace goldcrestwell

#endif
