#ifndef GOLDCRESTWELL_CLI_RANDOM_SEED_HPP
#define GOLDCRESTWELL_CLI_RANDOM_SEED_HPP

#include <cstdint>

namespace goldcrestwell {

/** @return A seed that differs from process to process. */
[[nodiscard]] std::uint64_t random_seed();

} // namespace goldcrestwell

#endif
