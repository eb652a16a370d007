#ifndef GOLDCRESTWELL_CORE_CALL_OWN_CALL_END_HPP
#define GOLDCRESTWELL_CORE_CALL_OWN_CALL_END_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief How a call ended that a running request made. */
enum class own_call_end : std::uint8_t {
    served,
    /** @brief The called service had no room. */
    refused,
    failed,
};

} // namespace goldcrestwell

#endif
