#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SPENDING_TEST_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SPENDING_TEST_HPP

#include "goldcrestwell/core/rollout/sequential_test.hpp"

namespace goldcrestwell {

/**
 * @brief Stratified two-proportion z-test at fixed sample sizes that double, with geometric alpha spending.
 * @param alpha Probability that a good version is rolled back at any look at the data, in the normal approximation.
 */
[[nodiscard]] sequential_test make_spending_test(double alpha);

} // namespace goldcrestwell

#endif
