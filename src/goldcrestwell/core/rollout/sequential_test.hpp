#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SEQUENTIAL_TEST_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SEQUENTIAL_TEST_HPP

#include "goldcrestwell/core/rollout/stratum.hpp"
#include "goldcrestwell/core/rollout/verdict.hpp"

#include <functional>
#include <span>

namespace goldcrestwell {

/**
 * @brief One-sided test of whether the candidate has a higher hit rate than the baseline.
 *
 * It runs again after every report on all strata so far, so it must bound the error over all repetitions together.
 */
using sequential_test = std::function<verdict(std::span<const stratum>)>;

} // namespace goldcrestwell

#endif
