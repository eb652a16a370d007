#include "goldcrestwell/shell/timeval.hpp"

#include <algorithm>

namespace goldcrestwell {

timeval to_timeval(const std::chrono::microseconds duration) noexcept {
    const auto bounded = std::max(duration, std::chrono::microseconds::zero());
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(bounded);
    return {.tv_sec = whole.count(), .tv_usec = (bounded - whole).count()};
}

} // namespace goldcrestwell
