#ifndef GOLDCRESTWELL_SHELL_TIMEVAL_HPP
#define GOLDCRESTWELL_SHELL_TIMEVAL_HPP

#include <sys/time.h>

#include <chrono>

namespace goldcrestwell {

/** @return The duration in the form that libevent takes; zero if it is negative. */
[[nodiscard]] timeval to_timeval(std::chrono::microseconds duration) noexcept;

} // namespace goldcrestwell

#endif
