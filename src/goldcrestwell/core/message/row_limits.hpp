#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROW_LIMITS_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROW_LIMITS_HPP

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief Limits of one row; zero means no limit. */
struct row_limits {
    /** @brief Maximum number of calls running at one upstream. */
    std::uint32_t max_in_flight{};
    /** @brief Maximum number of connections to one upstream. */
    std::uint32_t max_connections{};
    /** @brief Maximum number of calls queued at one upstream. */
    std::uint32_t max_queue{};
    /** @brief Maximum time for one call. */
    std::chrono::milliseconds timeout{};

    [[nodiscard]] friend bool operator==(const row_limits&, const row_limits&) = default;
};

} // namespace goldcrestwell

#endif
