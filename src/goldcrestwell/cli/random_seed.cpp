#include "goldcrestwell/cli/random_seed.hpp"

#include <random>

namespace goldcrestwell {

std::uint64_t random_seed() {
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

} // namespace goldcrestwell
