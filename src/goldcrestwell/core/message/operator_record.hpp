#ifndef GOLDCRESTWELL_CORE_MESSAGE_OPERATOR_RECORD_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_OPERATOR_RECORD_HPP

#include "goldcrestwell/core/common/log_offset.hpp"

#include <string>

namespace goldcrestwell {

/** @brief A record that operators wrote to the platform's store, still in the platform's encoding. */
struct operator_record {
    /** @brief Number of records up to and with this one, so that zero stands before the first. */
    log_offset offset;
    std::string key;
    /** @brief Empty if the key was deleted. */
    std::string payload;

    [[nodiscard]] friend bool operator==(const operator_record&, const operator_record&) = default;
};

} // namespace goldcrestwell

#endif
