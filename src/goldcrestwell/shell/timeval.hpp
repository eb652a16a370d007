#ifndef GOLDCRESTWELL_SHELL_TIMEVAL_HPP
#define GOLDCRESTWELL_SHELL_TIMEVAL_HPP

#include <sys/time.h>

#include <chrono>

namespace goldcrestwell {

/** @brief Converts a duration for libevent; negative durations become zero. */
[[nodiscard]] timeval to_timeval(std::chrono::microseconds duration) noexcept;

} // namespace goldcrestwell

#endif
