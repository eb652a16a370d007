#ifndef GOLDCRESTWELL_CORE_CALL_NESTED_CALL_OUTCOME_HPP
#define GOLDCRESTWELL_CORE_CALL_NESTED_CALL_OUTCOME_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief How a call ended that a running request made. */
enum class nested_call_outcome : std::uint8_t {
    succeeded,
    /** @brief The called service had no room. */
    refused,
    failed,
};

} // namespace goldcrestwell

#endif
