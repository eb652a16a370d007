#include "goldcrestwell/core/membership/upstream_index.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

void insert_sorted(std::vector<node_id>& nodes, const node_id id) {
    const auto position = std::lower_bound(nodes.begin(), nodes.end(), id);
    if (position == nodes.end() || *position != id) {
        nodes.insert(position, id);
    }
}

void erase_sorted(std::vector<node_id>& nodes, const node_id id) {
    const auto position = std::lower_bound(nodes.begin(), nodes.end(), id);
    if (position != nodes.end() && *position == id) {
        nodes.erase(position);
    }
}

/** Checks whether both records have the same entries in the index. */
bool same_entries(const member& left, const member& right) {
    const auto same_upstream = left.upstream.has_value() == right.upstream.has_value() &&
                               (!left.upstream || (left.upstream->service == right.upstream->service &&
                                                   left.upstream->version == right.upstream->version));
    return left.status == right.status && left.data_centre == right.data_centre && same_upstream;
}

} // namespace

void upstream_index::update(const member* before, const member& after) {
    if (before != nullptr) {
        if (same_entries(*before, after)) {
            return;
        }
        erase(*before);
    }
    add(after);
}

void upstream_index::add(const member& record) {
    if (record.status != member_status::alive) {
        return;
    }
    insert_sorted(data_centres_[record.data_centre], record.id);
    if (record.upstream) {
        insert_sorted(services_[record.upstream->service][record.upstream->version], record.id);
    }
}

void upstream_index::erase(const member& record) {
    if (record.status != member_status::alive) {
        return;
    }
    const auto found = data_centres_.find(record.data_centre);
    if (found != data_centres_.end()) {
        erase_sorted(found->second, record.id);
        if (found->second.empty()) {
            data_centres_.erase(found);
        }
    }
    if (!record.upstream) {
        return;
    }
    const auto service = services_.find(record.upstream->service);
    if (service == services_.end()) {
        return;
    }
    const auto version = service->second.find(record.upstream->version);
    if (version == service->second.end()) {
        return;
    }
    erase_sorted(version->second, record.id);
    if (version->second.empty()) {
        service->second.erase(version);
    }
    if (service->second.empty()) {
        services_.erase(service);
    }
}

const std::vector<node_id>& upstream_index::upstreams(const service_name& service,
                                                      const upstream_version& version) const {
    const auto versions = services_.find(service);
    if (versions == services_.end()) {
        return no_nodes_;
    }
    const auto nodes = versions->second.find(version);
    return nodes == versions->second.end() ? no_nodes_ : nodes->second;
}

std::vector<node_id> upstream_index::service_nodes(const service_name& service) const {
    std::vector<node_id> nodes;
    const auto versions = services_.find(service);
    if (versions == services_.end()) {
        return nodes;
    }
    for (const auto& [version, ids] : versions->second) {
        nodes.insert(nodes.end(), ids.begin(), ids.end());
    }
    std::sort(nodes.begin(), nodes.end());
    return nodes;
}

const std::vector<node_id>& upstream_index::alive_in(const data_centre& name) const {
    const auto nodes = data_centres_.find(name);
    return nodes == data_centres_.end() ? no_nodes_ : nodes->second;
}

std::vector<node_id> upstream_index::alive() const {
    std::vector<node_id> nodes;
    for (const auto& [name, ids] : data_centres_) {
        nodes.insert(nodes.end(), ids.begin(), ids.end());
    }
    std::sort(nodes.begin(), nodes.end());
    return nodes;
}

bool upstream_index::contains(const node_id id, const upstream_info& upstream) const {
    const auto& nodes = upstreams(upstream.service, upstream.version);
    return std::binary_search(nodes.begin(), nodes.end(), id);
}

} // namespace goldcrestwell
