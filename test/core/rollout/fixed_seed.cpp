#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace {

/** Sets the seed of rapidcheck, which is random otherwise; a seed from the environment takes precedence. */
struct fixed_seed {
    fixed_seed() { setenv("RC_PARAMS", "seed=20261204", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);
