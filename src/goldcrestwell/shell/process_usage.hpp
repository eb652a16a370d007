#ifndef GOLDCRESTWELL_SHELL_PROCESS_USAGE_HPP
#define GOLDCRESTWELL_SHELL_PROCESS_USAGE_HPP

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief Resource usage of the process. */
struct process_usage {
    /** @brief Processor time in user and system mode since process start. */
    std::chrono::microseconds processor_time{};
    /** @brief Peak resident memory, in bytes. */
    std::uint64_t peak_memory_bytes{};
};

[[nodiscard]] process_usage current_usage() noexcept;

} // namespace goldcrestwell

#endif
