#ifndef GOLDCRESTWELL_CLI_LOAD_OPTIONS_HPP
#define GOLDCRESTWELL_CLI_LOAD_OPTIONS_HPP

#include "goldcrestwell/shell/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief Options of the load tool: targets, request, rate and duration. */
struct load_options {
    std::vector<endpoint> targets;
    std::string method{"GET"};
    std::string path{"/"};
    std::size_t body_bytes{};
    /** Calls started per second over all targets. */
    double rate{80.0};
    /** Connections to each target; a call waits if none is idle, and its latency includes the wait. */
    std::size_t connections{16};
    std::chrono::milliseconds duration{10'000};
    /** Time before the measurement; calls planned in it are sent but not counted. */
    std::chrono::milliseconds warm_up{2'000};
    /** Measured from the planned start of a call. */
    std::chrono::milliseconds timeout{10'000};
    std::uint64_t seed{1};
};

} // namespace goldcrestwell

#endif
