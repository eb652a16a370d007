#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_DIGEST_HASH_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_DIGEST_HASH_HPP

#include "goldcrestwell/core/message/member.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"

#include <cstddef>
#include <cstdint>

namespace goldcrestwell {

/** @brief Buckets in which a table keeps its records; a power of two. */
inline constexpr std::size_t digest_bucket_count = 256;

/** @return Bucket of a node, below `digest_bucket_count`. */
[[nodiscard]] std::size_t digest_bucket(node_id id) noexcept;

/**
 * @return Hash of a record for digests that are combined by exclusive or; zero for tombstones.
 *
 * A suspicion is left out, because nodes may differ about it while a region is unreachable.
 */
[[nodiscard]] std::uint64_t digest_hash(const member& record) noexcept;

/** @return Hash of a move's state for digests that are combined by exclusive or. */
[[nodiscard]] std::uint64_t digest_hash(const rollout_update& update) noexcept;

} // namespace goldcrestwell

#endif
