#ifndef GOLDCRESTWELL_CORE_ROLLOUT_POSTERIOR_TEST_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_POSTERIOR_TEST_HPP

#include "goldcrestwell/core/rollout/sequential_test.hpp"

namespace goldcrestwell {

/**
 * @brief Bayesian beta-binomial comparison of the summed strata.
 * @param certainty Minimum posterior probability of a relevantly higher hit rate for a rollback of the candidate.
 */
[[nodiscard]] sequential_test make_posterior_test(double certainty);

} // namespace goldcrestwell

#endif
