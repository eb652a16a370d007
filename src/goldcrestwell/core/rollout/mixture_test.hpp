#ifndef GOLDCRESTWELL_CORE_ROLLOUT_MIXTURE_TEST_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_MIXTURE_TEST_HPP

#include "goldcrestwell/core/rollout/sequential_test.hpp"

namespace goldcrestwell {

/**
 * @brief Mixture sequential probability ratio test on failure proportions.
 *
 * Within a stratum each hit falls on the candidate with the candidate's part of the calls if both versions are alike.
 * The likelihood ratio against a mixture of higher rates may be looked at after every call.
 * @param alpha Probability that a good version is ever taken back by one test.
 */
[[nodiscard]] sequential_test make_mixture_test(double alpha);

} // namespace goldcrestwell

#endif
