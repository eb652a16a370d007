#include "goldcrestwell/shell/timeval.hpp"

#include <algorithm>

namespace goldcrestwell {

timeval to_timeval(const std::chrono::microseconds duration) noexcept {
    const auto non_negative = std::max(duration, std::chrono::microseconds::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(non_negative);
    return {.tv_sec = seconds.count(), .tv_usec = (non_negative - seconds).count()};
}

} // namespace goldcrestwell
