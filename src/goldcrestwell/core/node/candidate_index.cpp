#include "goldcrestwell/core/node/candidate_index.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

bool accepts_work(const member& record) {
    return record.status == member_status::alive && record.upstream.has_value();
}

bool precedes(const upstream_candidate& left, const upstream_candidate& right) {
    return left.local != right.local ? left.local : left.node < right.node;
}

} // namespace

void candidate_index::update(const member& record, const steady_time now) {
    const auto existing = indexed_.find(record.id);
    auto announced_at = now;
    if (existing != indexed_.end()) {
        const auto same_upstream = accepts_work(record) &&
                                   existing->second.start_incarnation == record.start_incarnation &&
                                   existing->second.generation == record.upstream->generation &&
                                   existing->second.key == key_type{record.upstream->service, record.upstream->version};
        if (same_upstream) {
            announced_at = existing->second.announced_at;
        }
        remove(record.id);
    }
    if (!accepts_work(record)) {
        return;
    }
    const key_type key{record.upstream->service, record.upstream->version};
    const upstream_candidate entry{.node = record.id,
                                   .slots = record.upstream->slots,
                                   .local = record.data_centre == local_data_centre_,
                                   .announced_at = announced_at,
                                   .warm = record.upstream->warm};
    auto& group = candidates_[key];
    group.insert(std::upper_bound(group.begin(), group.end(), entry, precedes), entry);
    indexed_.insert_or_assign(record.id, indexed_upstream{.key = key,
                                                          .start_incarnation = record.start_incarnation,
                                                          .generation = record.upstream->generation,
                                                          .announced_at = announced_at});
}

std::span<const upstream_candidate> candidate_index::find(const service_name& service,
                                                          const upstream_version& version) const {
    const auto found = candidates_.find({service, version});
    return found == candidates_.end() ? std::span<const upstream_candidate>{} : found->second;
}

void candidate_index::remove(const node_id node) {
    const auto existing = indexed_.find(node);
    const auto group = candidates_.find(existing->second.key);
    std::erase_if(group->second, [node](const upstream_candidate& entry) { return entry.node == node; });
    if (group->second.empty()) {
        candidates_.erase(group);
    }
    indexed_.erase(existing);
}

} // namespace goldcrestwell
