#ifndef GOLDCRESTWELL_TEST_PLATFORM_STORE_OUTAGE_HPP
#define GOLDCRESTWELL_TEST_PLATFORM_STORE_OUTAGE_HPP

#include <cstdint>

namespace goldcrestwell::test {

/** @brief What clients of a store see while it is away. */
enum class outage_kind : std::uint8_t {
    /** @brief Connections are closed and new ones are refused. */
    closed,
    /** @brief Requests are accepted, but never answered. */
    silent
};

/** @brief Options of an outage of a store. */
struct store_outage {
    outage_kind kind{outage_kind::closed};
    /** @brief Whether long polls that wait when a silent outage begins go on afterwards instead of being lost. */
    bool keeps_long_polls{};
};

} // namespace goldcrestwell::test

#endif
