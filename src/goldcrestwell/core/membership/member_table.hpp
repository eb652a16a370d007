#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBER_TABLE_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBER_TABLE_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/membership/digest_hash.hpp"
#include "goldcrestwell/core/message/member.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace goldcrestwell {

/** @brief Member records of all nodes, with digests of buckets by hash of the id. */
class member_table {
public:
    using size_type = std::size_t;
    /** @brief Called for each change; `before` is null for a new record, `after` for an erased one. */
    using change_hook = std::function<void(const member* before, const member* after)>;

    /** @param tombstone_retention Retention of `dead` and `left` records. */
    member_table(std::chrono::milliseconds tombstone_retention, change_hook changed);

    /**
     * @brief Merges a record; the result does not depend on the order of the records.
     *
     * A record without data centre carries only a status; the other fields are kept from an earlier record of the same
     * start incarnation.
     * @return True if the status or incarnation of the node changed.
     */
    bool apply(const member& record, steady_time now);

    /** @brief Erases expired tombstones. */
    void expire(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_expiry() const;

    [[nodiscard]] const member* find(node_id id) const;
    [[nodiscard]] const std::map<node_id, member>& members() const noexcept { return members_; }

    /**
     * @brief Returns the digests of the buckets, which ignore tombstones.
     *
     * Their number is a power of two, chosen for about 16 records per digest, at most `digest_bucket_count`.
     */
    [[nodiscard]] std::vector<std::uint32_t> digests() const;

    /**
     * @brief Returns the ids, including tombstones, of whole buckets whose digest differs from that of a peer.
     * @param remote Digests of the peer; their number is a power of two, at most `digest_bucket_count`.
     * @param first Bucket at which the search starts.
     * @param target_count Number of ids after which no further bucket is added.
     * @param more Set to true if a bucket that differs was left out, otherwise to false.
     */
    [[nodiscard]] std::vector<node_id> ids_in_differing_buckets(const std::vector<std::uint32_t>& remote,
                                                                size_type first, size_type target_count,
                                                                bool& more) const;

private:
    struct bucket {
        std::uint64_t digest{};
        std::set<node_id> ids;
    };
    struct tombstone {
        steady_time expiry;
        node_id id;
        incarnation member_incarnation;
    };

    [[nodiscard]] std::vector<std::uint32_t> digests(size_type count) const;
    void store(const member* before, const member& after, steady_time now);
    void remove_from_bucket(const member& record);
    void add_to_bucket(const member& record);
    bool fill_details(member& known, const member& record);

    std::chrono::milliseconds tombstone_retention_;
    change_hook changed_;
    std::map<node_id, member> members_;
    std::array<bucket, digest_bucket_count> buckets_;
    std::deque<tombstone> tombstones_;
};

} // namespace goldcrestwell

#endif
