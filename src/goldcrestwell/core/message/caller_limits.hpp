#ifndef GOLDCRESTWELL_CORE_MESSAGE_CALLER_LIMITS_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_CALLER_LIMITS_HPP

#include <chrono>
#include <cstddef>

namespace goldcrestwell {

/** @brief Limits for requests and connections of callers. */
struct caller_limits {
    std::size_t max_header_bytes{std::size_t{16} << 10U};
    std::size_t max_body_bytes{std::size_t{1} << 20U};
    /** @brief Time from the first byte of a request to the end of its headers. */
    std::chrono::milliseconds header_timeout{10'000};
    /** @brief Maximum time without a request on a connection. */
    std::chrono::milliseconds idle_timeout{60'000};

    [[nodiscard]] friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

} // namespace goldcrestwell

#endif
