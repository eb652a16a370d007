#ifndef GOLDCRESTWELL_SOAK_RUN_RECORD_HPP
#define GOLDCRESTWELL_SOAK_RUN_RECORD_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace goldcrestwell::soak {

/** @brief Observations of the callers and upstreams during one run. */
struct run_record {
    /** @brief Number of runs of each request over all upstreams. */
    std::map<std::string, std::uint32_t> runs;
    /** @brief Ids of the requests that are not idempotent. */
    std::set<std::string> non_idempotent;
    /** @brief Ids of the requests whose response guarantees that they have not run and will not run later. */
    std::set<std::string> reported_not_run;
    std::uint64_t calls{};
    std::uint64_t answered{};
    /** @brief Violated guarantees, one line each. */
    std::vector<std::string> failures;
};

} // namespace goldcrestwell::soak

#endif
