#include "goldcrestwell/core/membership/member_table.hpp"

#include "goldcrestwell/core/membership/member_order.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

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
    if (after.data_centre.empty() && after.life == before.life) {
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
    if (!known.data_centre.empty() || record.data_centre.empty() || known.life != record.life) {
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
    const auto place = groups_.find(record.data_centre);
    if (place == groups_.end()) {
        return;
    }
    const auto hash = digest_hash(record);
    place->second.digests[0] ^= hash;
    place->second.digests[digest_slice(record.id)] ^= hash;
    place->second.ids.erase(record.id);
    if (place->second.ids.empty()) {
        groups_.erase(place);
    }
}

void member_table::count_in(const member& record) {
    auto& place = groups_[record.data_centre];
    const auto hash = digest_hash(record);
    place.digests[0] ^= hash;
    place.digests[digest_slice(record.id)] ^= hash;
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

std::vector<data_centre_digest> member_table::digests(const std::uint32_t slice) const {
    std::vector<data_centre_digest> result;
    result.reserve(groups_.size());
    for (const auto& [name, place] : groups_) {
        result.push_back({.data_centre = name, .digest = place.digests[std::min(slice, digest_slice_count)]});
    }
    return result;
}

std::vector<node_id> member_table::differing(const sync_digest& theirs, const std::uint32_t only, const size_type first,
                                             const size_type enough) const {
    std::map<data_centre, std::uint64_t> known;
    for (const auto& entry : theirs.data_centres) {
        known[entry.data_centre] = entry.digest;
    }
    const auto slice = std::min(theirs.slice, digest_slice_count);
    std::vector<const group*> different;
    for (const auto& [name, place] : groups_) {
        const auto entry = known.find(name);
        if (place.digests[slice] != (entry == known.end() ? 0 : entry->second)) {
            different.push_back(&place);
        }
    }
    std::vector<node_id> ids;
    for (size_type step = 0; step < different.size() && ids.size() < enough; ++step) {
        const auto& place = *different[(first + step) % different.size()];
        std::copy_if(place.ids.begin(), place.ids.end(), std::back_inserter(ids),
                     [only](const node_id id) { return only == 0 || digest_slice(id) == only; });
    }
    return ids;
}

} // namespace goldcrestwell
