#ifndef GOLDCRESTWELL_CORE_COMMON_RUN_STATE_HPP
#define GOLDCRESTWELL_CORE_COMMON_RUN_STATE_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief What is known about whether a request reached its upstream. */
enum class run_state : std::uint8_t { not_run, ran, unknown };

} // namespace goldcrestwell

#endif
