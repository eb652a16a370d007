#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBER_TABLE_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBER_TABLE_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/membership/digest_hash.hpp"
#include "goldcrestwell/core/message/sync_digest.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace goldcrestwell {

/** @brief All membership records of a node, merged in any order, with digests per data centre. */
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

    /** @param slice From 1 to `digest_slice_count`, or zero for all records. */
    [[nodiscard]] std::vector<data_centre_digest> digests(std::uint32_t slice) const;

    /**
     * @brief Chooses ids, tombstones included, of data centres whose digest differs or is missing there.
     * @param only Slice that the ids are limited to, or zero.
     * @param first Data centre to begin with, modulo their number.
     * @param enough No further data centre is added once this many ids are chosen.
     */
    [[nodiscard]] std::vector<node_id> differing(const sync_digest& theirs, std::uint32_t only, size_type first,
                                                 size_type enough) const;

private:
    struct group {
        std::array<std::uint64_t, digest_slice_count + 1> digests{};
        std::set<node_id> ids;
    };
    struct tombstone {
        steady_time expiry;
        node_id id;
        incarnation generation;
    };

    void store(const member* before, const member& after, steady_time now);
    void count_out(const member& record);
    void count_in(const member& record);
    bool fill_details(member& known, const member& record);

    std::chrono::milliseconds tombstone_time_;
    change_hook changed_;
    std::map<node_id, member> members_;
    std::map<data_centre, group> groups_;
    std::deque<tombstone> tombstones_;
};

} // namespace goldcrestwell

#endif
