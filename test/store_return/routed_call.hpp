#ifndef GOLDCRESTWELL_TEST_STORE_RETURN_ROUTED_CALL_HPP
#define GOLDCRESTWELL_TEST_STORE_RETURN_ROUTED_CALL_HPP

#include "goldcrestwell/core/common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace goldcrestwell::test {

/** @brief Finished call of a caller. */
struct routed_call {
    /** @brief Index of the host whose node was called. */
    std::size_t host{};
    std::string target;
    steady_time started{};
    steady_time finished{};
    /** @brief Status of the response; 0 if there was none. */
    std::uint32_t status{};
    /** @brief Service whose upstream ran the call; empty if none did. */
    std::string service;
};

} // namespace goldcrestwell::test

#endif
