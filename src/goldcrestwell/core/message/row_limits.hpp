#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROW_LIMITS_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROW_LIMITS_HPP

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief Limits of one row; zero means no limit of its own. */
struct row_limits {
    /** @brief Calls running at one upstream. */
    std::uint32_t max_in_flight{};
    /** @brief Connections to one upstream. */
    std::uint32_t max_connections{};
    /** @brief Calls waiting for a slot at one upstream. */
    std::uint32_t max_queue{};
    /** @brief Longest time for one call. */
    std::chrono::milliseconds timeout{};

    [[nodiscard]] friend bool operator==(const row_limits&, const row_limits&) = default;
};

} // namespace goldcrestwell

#endif
