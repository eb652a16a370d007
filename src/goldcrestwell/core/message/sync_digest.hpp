#ifndef GOLDCRESTWELL_CORE_MESSAGE_SYNC_DIGEST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_SYNC_DIGEST_HPP

#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief Starts an anti-entropy exchange. */
struct sync_digest {
    /** @brief Digests of the member records, grouped by the hash of the node id; the number of buckets is a power of
     * two. */
    std::vector<std::uint32_t> buckets;
    /** @brief Digest of all rollout states. */
    std::uint64_t rollouts{};

    [[nodiscard]] friend bool operator==(const sync_digest&, const sync_digest&) = default;
};

} // namespace goldcrestwell

#endif
