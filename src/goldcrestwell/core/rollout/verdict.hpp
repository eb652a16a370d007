#ifndef GOLDCRESTWELL_CORE_ROLLOUT_VERDICT_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_VERDICT_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Judgement on a candidate; a later enumerator is the more cautious one. */
enum class verdict : std::uint8_t { go_on, wait, take_back };

} // namespace goldcrestwell

#endif
