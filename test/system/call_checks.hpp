#ifndef GOLDCRESTWELL_TEST_SYSTEM_CALL_CHECKS_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_CALL_CHECKS_HPP

#include "system/call_load.hpp"
#include "system/test_cluster.hpp"

namespace goldcrestwell::test {

/** @brief Checks that no response is wrong, no request id ran twice, and no call that ran was refused as not run. */
void check_calls(test_cluster& cluster, const call_load& load);

/** @brief Checks that every call of a short load receives its complete response. */
void check_all_answered(test_cluster& cluster, const std::vector<std::size_t>& nodes);

/** @brief Applies rows through node 0 and waits until they are in force on all nodes. */
[[nodiscard]] bool apply_everywhere(test_cluster& cluster, const std::string& rows);

} // namespace goldcrestwell::test

#endif
