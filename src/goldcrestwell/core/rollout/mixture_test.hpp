#ifndef GOLDCRESTWELL_CORE_ROLLOUT_MIXTURE_TEST_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_MIXTURE_TEST_HPP

#include "goldcrestwell/core/rollout/sequential_test.hpp"

namespace goldcrestwell {

/**
 * @brief Mixture sequential probability ratio test on failure proportions.
 *
 * If both versions have the same hit rate, a hit in a stratum belongs to the candidate with a probability equal to the
 * candidate's fraction of the calls. The likelihood ratio against a mixture of higher rates may be evaluated after
 * every call.
 * @param alpha Probability that the test ever rolls back a good version.
 */
[[nodiscard]] sequential_test make_mixture_test(double alpha);

} // namespace goldcrestwell

#endif
