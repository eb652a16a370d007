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

/** @brief All membership records of a node, merged in any order, with digests by hash of the id. */
class member_table {
public:
    using size_type = std::size_t;
    /** @brief `before` is null for a new record; `after` is null for an erased one. */
    using change_hook = std::function<void(const member* before, const member* after)>;

    /** @param tombstone_time How long dead and left records are kept. */
    member_table(std::chrono::milliseconds tombstone_time, change_hook changed);

    /**
     * @brief Merges a record.
     *
     * A record without data centre carries only a status; details of an older record of the same life are kept.
     * @return True if the status or incarnation of the node changed.
     */
    bool apply(const member& record, steady_time now);

    /** @brief Erases tombstones whose time has passed. */
    void expire(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_expiry() const;

    [[nodiscard]] const member* find(node_id id) const;
    [[nodiscard]] const std::map<node_id, member>& members() const noexcept { return members_; }

    /**
     * @brief Digests of all records by hash of the id, tombstones left out.
     *
     * Their number is the power of two that puts about 16 records into a bucket, at most `digest_bucket_count`.
     */
    [[nodiscard]] std::vector<std::uint32_t> digests() const;

    /**
     * @brief Chooses ids, tombstones included, of buckets whose digest differs there; whole buckets only.
     * @param theirs A power of two of digests, at most `digest_bucket_count`.
     * @param first Bucket to begin with, modulo their number.
     * @param enough No further bucket is added once this many ids are chosen.
     * @param more Set to true if a bucket that differs is left out.
     */
    [[nodiscard]] std::vector<node_id> differing(const std::vector<std::uint32_t>& theirs, size_type first,
                                                 size_type enough, bool& more) const;

private:
    struct bucket {
        std::uint64_t digest{};
        std::set<node_id> ids;
    };
    struct tombstone {
        steady_time expiry;
        node_id id;
        incarnation generation;
    };

    [[nodiscard]] std::vector<std::uint32_t> digests(size_type count) const;
    void store(const member* before, const member& after, steady_time now);
    void count_out(const member& record);
    void count_in(const member& record);
    bool fill_details(member& known, const member& record);

    std::chrono::milliseconds tombstone_time_;
    change_hook changed_;
    std::map<node_id, member> members_;
    std::array<bucket, digest_bucket_count> buckets_;
    std::deque<tombstone> tombstones_;
};

} // namespace goldcrestwell

#endif
