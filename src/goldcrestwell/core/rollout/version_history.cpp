#include "goldcrestwell/core/rollout/version_history.hpp"

#include <algorithm>
#include <chrono>

namespace goldcrestwell {

namespace {

// A node that has just started discovers the upstreams of a service one by one. After this time only a finished rollout
// changes the current version.
constexpr std::chrono::seconds discovery_period{3};
// Only the last few versions of a service can still have upstreams.
constexpr std::size_t max_finished_rollouts = 8;

} // namespace

void version_history::on_live_upstream(const service_name& service, const upstream_version& version,
                                       const steady_time now) {
    if (is_rolled_back(service, version)) {
        return;
    }
    auto& versions = services_[service];
    if (!versions.first_seen) {
        versions.first_seen = now;
    }
    if (!versions.current_version) {
        versions.current_version = version;
        return;
    }
    const auto is_settled = versions.current_offset != log_offset{} || now >= *versions.first_seen + discovery_period;
    if (!is_settled && count_upstreams_(service, version) > count_upstreams_(service, *versions.current_version)) {
        versions.current_version = version;
    }
}

void version_history::on_requested(const service_name& service, const upstream_version& version,
                                   const log_offset offset) {
    auto& versions = services_[service];
    versions.request_offsets[version] = std::max(versions.request_offsets[version], offset);
    if (const auto entry = versions.rollback_offsets.find(version);
        entry != versions.rollback_offsets.end() && entry->second < offset) {
        versions.rollback_offsets.erase(entry);
    }
    if (versions.current_offset == log_offset{} && versions.current_version == version) {
        // Upstreams of the requested version were seen before the request, so the current version is unknown.
        versions.current_version.reset();
    }
}

void version_history::on_finished(const rollout_update& update) {
    if (!update.state.done && !update.state.rolled_back) {
        return;
    }
    auto& versions = services_[service_name{update.key.row.route.value}];
    const auto& version = update.key.row.version;
    const auto offset = update.key.row_version;
    versions.finished_rollouts.insert_or_assign(offset, update);
    if (versions.finished_rollouts.size() > max_finished_rollouts) {
        versions.finished_rollouts.erase(versions.finished_rollouts.begin());
    }
    if (!update.state.rolled_back) {
        if (offset >= versions.current_offset) {
            versions.current_version = version;
            versions.current_offset = offset;
        }
        return;
    }
    if (const auto request = versions.request_offsets.find(version);
        request == versions.request_offsets.end() || request->second <= offset) {
        versions.rollback_offsets.insert_or_assign(version, offset);
        if (versions.current_version == version) {
            versions.current_version.reset();
            versions.current_offset = {};
        }
    }
}

std::optional<upstream_version> version_history::current_version(const service_name& service) const {
    const auto versions = services_.find(service);
    return versions == services_.end() ? std::nullopt : versions->second.current_version;
}

bool version_history::is_rolled_back(const service_name& service, const upstream_version& version) const {
    const auto versions = services_.find(service);
    return versions != services_.end() && versions->second.rollback_offsets.contains(version);
}

std::vector<rollout_update> version_history::finished_rollouts() const {
    std::vector<rollout_update> result;
    for (const auto& [service, versions] : services_) {
        for (const auto& [offset, update] : versions.finished_rollouts) {
            result.push_back(update);
        }
    }
    return result;
}

} // namespace goldcrestwell
