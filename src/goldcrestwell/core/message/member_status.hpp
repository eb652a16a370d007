#ifndef GOLDCRESTWELL_CORE_MESSAGE_MEMBER_STATUS_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_MEMBER_STATUS_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Status of a node in the cluster; at the same incarnation the later enumerator takes precedence. */
enum class member_status : std::uint8_t { alive, suspect, leaving, dead, left };

} // namespace goldcrestwell

#endif
