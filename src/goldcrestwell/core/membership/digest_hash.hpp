#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_DIGEST_HASH_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_DIGEST_HASH_HPP

#include "goldcrestwell/core/message/member.hpp"
#include "goldcrestwell/core/message/move_update.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Parts of the id space that an anti-entropy exchange can be limited to. */
inline constexpr std::uint32_t digest_slice_count = 16;

/** @return Slice of a node, from 1 to `digest_slice_count`. */
[[nodiscard]] std::uint32_t digest_slice(node_id id) noexcept;

/**
 * @return Hash of a record for digests that are combined by exclusive or; zero for tombstones.
 *
 * A suspicion is left out, because nodes may differ about it while a region is unreachable.
 */
[[nodiscard]] std::uint64_t digest_hash(const member& record) noexcept;

/** @return Hash of a move's state for digests that are combined by exclusive or. */
[[nodiscard]] std::uint64_t digest_hash(const move_update& update) noexcept;

} // namespace goldcrestwell

#endif
