#ifndef GOLDCRESTWELL_CORE_CALL_NESTED_CALL_OUTCOME_HPP
#define GOLDCRESTWELL_CORE_CALL_NESTED_CALL_OUTCOME_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Outcome of a call that a running request made. */
enum class nested_call_outcome : std::uint8_t {
    succeeded,
    /** @brief The called service had no capacity. */
    refused,
    failed,
};

} // namespace goldcrestwell

#endif
