#ifndef GOLDCRESTWELL_CORE_CONFIG_STATE_DIGEST_HPP
#define GOLDCRESTWELL_CORE_CONFIG_STATE_DIGEST_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/config/route_state.hpp"
#include "goldcrestwell/core/message/edit_verdict.hpp"

#include <cstdint>

/**
 * @brief Hashes to detect damaged, incomplete or diverged states; they do not protect against forgery.
 *
 * The hash of a table is the sum of the hashes of its routes, so only changed routes have to be hashed again.
 */
namespace goldcrestwell::internal {

[[nodiscard]] std::uint64_t digest_of(const route_state& state);
[[nodiscard]] std::uint64_t digest_of(const edit_verdict& verdict);
/**
 * @param sum Sum of the hashes of all routes and verdicts.
 * @param covered_offset Offset of the last record that is included in the state.
 * @return Hash of the state and the offset.
 */
[[nodiscard]] std::uint64_t digest_of_state(std::uint64_t sum, log_offset covered_offset);

} // namespace goldcrestwell::internal

#endif
