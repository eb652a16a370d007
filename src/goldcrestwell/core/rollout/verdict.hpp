#ifndef GOLDCRESTWELL_CORE_ROLLOUT_VERDICT_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_VERDICT_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Result of a test of a candidate; later enumerators are more cautious. */
enum class verdict : std::uint8_t { advance, wait, roll_back };

} // namespace goldcrestwell

#endif
