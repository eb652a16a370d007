#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_DIGEST_HASH_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_DIGEST_HASH_HPP

#include "goldcrestwell/core/message/member.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"

#include <cstddef>
#include <cstdint>

namespace goldcrestwell {

/** @brief Number of buckets of a member table; a power of two. */
inline constexpr std::size_t digest_bucket_count = 256;

/** @brief Returns the bucket of a node, below `digest_bucket_count`. */
[[nodiscard]] std::size_t digest_bucket(node_id id) noexcept;

/**
 * @brief Returns the hash of a record, to be combined into a digest by exclusive or; zero for tombstones.
 *
 * Suspect and alive records hash alike, because nodes may disagree about suspicions while a region is unreachable.
 */
[[nodiscard]] std::uint64_t digest_hash(const member& record) noexcept;

/** @brief Returns the hash of a rollout's state, to be combined into a digest by exclusive or. */
[[nodiscard]] std::uint64_t digest_hash(const rollout_update& update) noexcept;

} // namespace goldcrestwell

#endif
