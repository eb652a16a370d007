#include "goldcrestwell/shell/process_usage.hpp"

#include <sys/resource.h>

namespace goldcrestwell {

namespace {

std::chrono::microseconds to_duration(const timeval& time) {
    return std::chrono::seconds{time.tv_sec} + std::chrono::microseconds{time.tv_usec};
}

} // namespace

process_usage current_usage() noexcept {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return {.processor_time = to_duration(usage.ru_utime) + to_duration(usage.ru_stime),
            .peak_memory_bytes = static_cast<std::uint64_t>(usage.ru_maxrss) * 1024U};
}

} // namespace goldcrestwell
