#ifndef GOLDCRESTWELL_SOAK_RUN_RECORD_HPP
#define GOLDCRESTWELL_SOAK_RUN_RECORD_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace goldcrestwell::soak {

/** @brief What callers and upstreams of one run have seen. */
struct run_record {
    /** @brief Runs of each request, over all upstreams. */
    std::map<std::string, std::uint32_t> runs;
    /** @brief Requests that are not idempotent. */
    std::set<std::string> single;
    /** @brief Requests whose last answer said that they did not run and never will. */
    std::set<std::string> denied;
    std::uint64_t calls{};
    std::uint64_t answered{};
    /** @brief Broken promises, one line each. */
    std::vector<std::string> failures;
};

} // namespace goldcrestwell::soak

#endif
