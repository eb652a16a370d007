#include "goldcrestwell/core/node/candidate_index.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

bool takes_work(const member& record) {
    return record.status == member_status::alive && record.upstream.has_value();
}

bool precedes(const upstream_candidate& left, const upstream_candidate& right) {
    return left.local != right.local ? left.local : left.node < right.node;
}

} // namespace

void candidate_index::update(const member& record, const steady_time now) {
    const auto known = places_.find(record.id);
    auto since = now;
    if (known != places_.end()) {
        const auto same_upstream = takes_work(record) && known->second.start_incarnation == record.start_incarnation &&
                                   known->second.generation == record.upstream->generation &&
                                   known->second.key == key_type{record.upstream->service, record.upstream->version};
        if (same_upstream) {
            since = known->second.since;
        }
        remove(record.id);
    }
    if (!takes_work(record)) {
        return;
    }
    const key_type key{record.upstream->service, record.upstream->version};
    const upstream_candidate entry{.node = record.id,
                                   .slots = record.upstream->slots,
                                   .local = record.data_centre == own_,
                                   .since = since,
                                   .warm = record.upstream->warm};
    auto& group = candidates_[key];
    group.insert(std::upper_bound(group.begin(), group.end(), entry, precedes), entry);
    places_.insert_or_assign(record.id, place{.key = key,
                                              .start_incarnation = record.start_incarnation,
                                              .generation = record.upstream->generation,
                                              .since = since});
}

std::span<const upstream_candidate> candidate_index::find(const service_name& service,
                                                          const upstream_version& version) const {
    const auto found = candidates_.find({service, version});
    return found == candidates_.end() ? std::span<const upstream_candidate>{} : found->second;
}

void candidate_index::remove(const node_id node) {
    const auto known = places_.find(node);
    const auto group = candidates_.find(known->second.key);
    std::erase_if(group->second, [node](const upstream_candidate& entry) { return entry.node == node; });
    if (group->second.empty()) {
        candidates_.erase(group);
    }
    places_.erase(known);
}

} // namespace goldcrestwell
