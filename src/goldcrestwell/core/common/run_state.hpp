#ifndef GOLDCRESTWELL_CORE_COMMON_RUN_STATE_HPP
#define GOLDCRESTWELL_CORE_COMMON_RUN_STATE_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Whether a request reached an upstream, as far as is known. */
enum class run_state : std::uint8_t { not_run, ran, unknown };

} // namespace goldcrestwell

#endif
