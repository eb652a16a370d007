#ifndef GOLDCRESTWELL_TEST_STORE_RETURN_RETURN_DRILL_HPP
#define GOLDCRESTWELL_TEST_STORE_RETURN_RETURN_DRILL_HPP

#include "platform/store_copy.hpp"
#include "store_return/return_cluster.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>

namespace goldcrestwell::test {

/** @brief Calls of one period and the results that differ from the configuration in force. */
struct call_counts {
    std::size_t item_calls{};
    std::size_t at_wrong_service{};
    std::size_t added_calls{};
    std::size_t refused{};
    /** @brief Calls without a response, or refused for another reason than a missing route. */
    std::size_t failed{};
    std::set<std::size_t> wrong_hosts;
};

/**
 * @brief Steps of the drill in which the store goes away and returns from a copy.
 *
 * Four versions are written before the outage; the copy has only the first one. The routes alternate between the
 * services, so that a call shows whether the version before the outage, the one of the copy or the next one handled it:
 * the version of the copy uses the service `new`, the last one before the outage `old`, and the next one `new` and an
 * added route.
 */
class return_drill {
public:
    explicit return_drill(std::uint16_t first_port);

    [[nodiscard]] return_cluster& cluster() noexcept { return cluster_; }

    /** @brief Writes the versions before the outage and waits until the last one is in force. */
    void write_history();
    /** @brief Writes the versions after the one of the copy again, as they were. */
    void write_history_again();
    void begin_outage(const store_outage& outage = {});
    /** @brief Ends the outage with the history of the copy. */
    void come_back_from_copy();
    /** @brief Ends the outage with the present history. */
    void come_back();
    /** @brief Writes the next version: the service `new` and the added route. */
    void write_next();
    /** @brief Writes a version that uses the service `old`, without the added route. */
    void write_old();

    /** @brief Checks the calls that ended since the return: none was handled by the version of the copy. */
    void check_last_version_in_force();
    /** @brief Runs until the next version has been in force for some seconds at its latest, and checks all calls. */
    void check_next_version_in_force();

private:
    void write(const route_plan& plan);
    [[nodiscard]] call_counts count_calls(steady_time since) const;

    return_cluster cluster_;
    store_copy copy_;
    std::uint64_t version_{};
    steady_time returned_{};
    steady_time written_{};
};

} // namespace goldcrestwell::test

#endif
