#ifndef GOLDCRESTWELL_CORE_MESSAGE_MEMBER_STATUS_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_MEMBER_STATUS_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief State of a node as others know it; at the same incarnation the later enumerator wins. */
enum class member_status : std::uint8_t { alive, suspect, leaving, dead, left };

} // namespace goldcrestwell

#endif
