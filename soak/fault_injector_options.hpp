#ifndef GOLDCRESTWELL_SOAK_FAULT_INJECTOR_OPTIONS_HPP
#define GOLDCRESTWELL_SOAK_FAULT_INJECTOR_OPTIONS_HPP

#include <cstdint>

namespace goldcrestwell::soak {

/** @brief Options of a `fault_injector`. */
struct fault_injector_options {
    std::uint64_t seed{};
    /** @brief Injects only restarts, settings reloads, upstream replacements and configuration changes. */
    bool planned_only{};
    /** @brief Lets the store return from earlier copies, so that it loses versions of a configuration that changes
     * often. */
    bool store_returns{};
};

} // namespace goldcrestwell::soak

#endif
