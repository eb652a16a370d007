#include "goldcrestwell/core/membership/member_table.hpp"

#include "goldcrestwell/core/membership/member_order.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace goldcrestwell {

namespace {

/** Compromise: a differing bucket costs 20 bytes per record in a list, each bucket costs 5 bytes in every digest. */
constexpr std::size_t records_per_bucket = 16;

} // namespace

member_table::member_table(const std::chrono::milliseconds tombstone_retention, change_hook changed)
    : tombstone_retention_{tombstone_retention}, changed_{std::move(changed)} {}

bool member_table::apply(const member& record, const steady_time now) {
    const auto known = members_.find(record.id);
    if (known == members_.end()) {
        store(nullptr, record, now);
        return true;
    }
    if (!supersedes(record, known->second)) {
        fill_details(known->second, record);
        return false;
    }
    const auto before = known->second;
    auto after = record;
    if (after.data_centre.empty() && after.start_incarnation == before.start_incarnation) {
        after.data_centre = before.data_centre;
        after.region = before.region;
        after.upstream = before.upstream;
    }
    store(&before, after, now);
    return true;
}

void member_table::store(const member* before, const member& after, const steady_time now) {
    if (before != nullptr) {
        remove_from_bucket(*before);
    }
    members_[after.id] = after;
    add_to_bucket(after);
    if (is_tombstone(after.status)) {
        tombstones_.push_back(
            {.expiry = now + tombstone_retention_, .id = after.id, .member_incarnation = after.incarnation});
    }
    changed_(before, &after);
}

bool member_table::fill_details(member& known, const member& record) {
    if (!known.data_centre.empty() || record.data_centre.empty() ||
        known.start_incarnation != record.start_incarnation) {
        return false;
    }
    const auto before = known;
    remove_from_bucket(before);
    known.data_centre = record.data_centre;
    known.region = record.region;
    known.upstream = record.upstream;
    add_to_bucket(known);
    changed_(&before, &known);
    return true;
}

void member_table::remove_from_bucket(const member& record) {
    auto& slot = buckets_[digest_bucket(record.id)];
    slot.digest ^= digest_hash(record);
    slot.ids.erase(record.id);
}

void member_table::add_to_bucket(const member& record) {
    auto& slot = buckets_[digest_bucket(record.id)];
    slot.digest ^= digest_hash(record);
    slot.ids.insert(record.id);
}

void member_table::expire(const steady_time now) {
    while (!tombstones_.empty() && tombstones_.front().expiry <= now) {
        const auto expired = tombstones_.front();
        tombstones_.pop_front();
        const auto known = members_.find(expired.id);
        if (known == members_.end() || !is_tombstone(known->second.status) ||
            known->second.incarnation != expired.member_incarnation) {
            continue;
        }
        const auto before = known->second;
        remove_from_bucket(before);
        members_.erase(known);
        changed_(&before, nullptr);
    }
}

std::optional<steady_time> member_table::next_expiry() const {
    if (tombstones_.empty()) {
        return std::nullopt;
    }
    return tombstones_.front().expiry;
}

const member* member_table::find(const node_id id) const {
    const auto known = members_.find(id);
    return known == members_.end() ? nullptr : &known->second;
}

std::vector<std::uint32_t> member_table::digests() const {
    return digests(std::min(std::bit_ceil(members_.size() / records_per_bucket), digest_bucket_count));
}

std::vector<std::uint32_t> member_table::digests(const size_type count) const {
    std::vector<std::uint32_t> result(count);
    for (size_type index = 0; index < digest_bucket_count; ++index) {
        result[index % count] ^= static_cast<std::uint32_t>(buckets_[index].digest);
    }
    return result;
}

std::vector<node_id> member_table::ids_in_differing_buckets(const std::vector<std::uint32_t>& remote,
                                                            const size_type first, const size_type target_count,
                                                            bool& more) const {
    std::vector<node_id> ids;
    more = false;
    if (!std::has_single_bit(remote.size()) || remote.size() > digest_bucket_count) {
        return ids;
    }
    const auto local = digests(remote.size());
    for (size_type step = 0; step < digest_bucket_count; ++step) {
        const auto index = (first + step) % digest_bucket_count;
        const auto remote_index = index % local.size();
        if (local[remote_index] == remote[remote_index] || buckets_[index].ids.empty()) {
            continue;
        }
        if (ids.size() >= target_count) {
            more = true;
            break;
        }
        ids.insert(ids.end(), buckets_[index].ids.begin(), buckets_[index].ids.end());
    }
    return ids;
}

} // namespace goldcrestwell
