#include "goldcrestwell/core/membership/member_table.hpp"

#include "goldcrestwell/core/membership/member_order.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace goldcrestwell {

namespace {

/** A bucket that differs costs a list of its records at 20 bytes each, a further bucket costs 5 in every digest. */
constexpr std::size_t bucket_records = 16;

} // namespace

member_table::member_table(const std::chrono::milliseconds tombstone_time, change_hook changed)
    : tombstone_time_{tombstone_time}, changed_{std::move(changed)} {}

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
        count_out(*before);
    }
    members_[after.id] = after;
    count_in(after);
    if (is_tombstone(after.status)) {
        tombstones_.push_back({.expiry = now + tombstone_time_, .id = after.id, .generation = after.incarnation});
    }
    changed_(before, &after);
}

bool member_table::fill_details(member& known, const member& record) {
    if (!known.data_centre.empty() || record.data_centre.empty() ||
        known.start_incarnation != record.start_incarnation) {
        return false;
    }
    const auto before = known;
    count_out(before);
    known.data_centre = record.data_centre;
    known.region = record.region;
    known.upstream = record.upstream;
    count_in(known);
    changed_(&before, &known);
    return true;
}

void member_table::count_out(const member& record) {
    auto& place = buckets_[digest_bucket(record.id)];
    place.digest ^= digest_hash(record);
    place.ids.erase(record.id);
}

void member_table::count_in(const member& record) {
    auto& place = buckets_[digest_bucket(record.id)];
    place.digest ^= digest_hash(record);
    place.ids.insert(record.id);
}

void member_table::expire(const steady_time now) {
    while (!tombstones_.empty() && tombstones_.front().expiry <= now) {
        const auto due = tombstones_.front();
        tombstones_.pop_front();
        const auto known = members_.find(due.id);
        if (known == members_.end() || !is_tombstone(known->second.status) ||
            known->second.incarnation != due.generation) {
            continue;
        }
        const auto before = known->second;
        count_out(before);
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
    return digests(std::min(std::bit_ceil(members_.size() / bucket_records), digest_bucket_count));
}

std::vector<std::uint32_t> member_table::digests(const size_type count) const {
    std::vector<std::uint32_t> result(count);
    for (size_type place = 0; place < digest_bucket_count; ++place) {
        result[place % count] ^= static_cast<std::uint32_t>(buckets_[place].digest);
    }
    return result;
}

std::vector<node_id> member_table::differing(const std::vector<std::uint32_t>& theirs, const size_type first,
                                             const size_type enough, bool& more) const {
    std::vector<node_id> ids;
    more = false;
    if (!std::has_single_bit(theirs.size()) || theirs.size() > digest_bucket_count) {
        return ids;
    }
    const auto own = digests(theirs.size());
    for (size_type step = 0; step < digest_bucket_count; ++step) {
        const auto place = (first + step) % digest_bucket_count;
        const auto wide = place % own.size();
        if (own[wide] == theirs[wide] || buckets_[place].ids.empty()) {
            continue;
        }
        if (ids.size() >= enough) {
            more = true;
            break;
        }
        ids.insert(ids.end(), buckets_[place].ids.begin(), buckets_[place].ids.end());
    }
    return ids;
}

} // namespace goldcrestwell
