#include "goldcrestwell/core/rollout/version_history.hpp"

#include <algorithm>
#include <chrono>

namespace goldcrestwell {

namespace {

// A node that starts learns the upstreams of a service one after the other; later the version in use changes by a
// finished move only.
constexpr std::chrono::seconds acquaintance{3};
// Only the last few versions of a service can still have upstreams.
constexpr std::size_t most_finished = 8;

} // namespace

void version_history::on_seen(const service_name& service, const upstream_version& version, const steady_time now) {
    if (withdrawn(service, version)) {
        return;
    }
    auto& known = services_[service];
    if (!known.first_seen) {
        known.first_seen = now;
    }
    if (!known.in_use) {
        known.in_use = version;
        return;
    }
    const auto settled = known.decided_at != log_offset{} || now >= *known.first_seen + acquaintance;
    if (!settled && upstreams_(service, version) > upstreams_(service, *known.in_use)) {
        known.in_use = version;
    }
}

void version_history::on_ordered(const service_name& service, const upstream_version& version, const log_offset at) {
    auto& known = services_[service];
    known.ordered[version] = std::max(known.ordered[version], at);
    if (const auto taken = known.withdrawn.find(version); taken != known.withdrawn.end() && taken->second < at) {
        known.withdrawn.erase(taken);
    }
    if (known.decided_at == log_offset{} && known.in_use == version) {
        // The upstreams of the new version were seen before its order; the version in use is not known here.
        known.in_use.reset();
    }
}

void version_history::on_finished(const rollout_update& update) {
    if (!update.state.done && !update.state.rolled_back) {
        return;
    }
    auto& known = services_[service_name{update.key.row.route.value}];
    const auto& version = update.key.row.version;
    const auto at = update.key.row_version;
    known.finished.insert_or_assign(at, update);
    if (known.finished.size() > most_finished) {
        known.finished.erase(known.finished.begin());
    }
    if (!update.state.rolled_back) {
        if (at >= known.decided_at) {
            known.in_use = version;
            known.decided_at = at;
        }
        return;
    }
    if (const auto ordered = known.ordered.find(version); ordered == known.ordered.end() || ordered->second <= at) {
        known.withdrawn.insert_or_assign(version, at);
        if (known.in_use == version) {
            known.in_use.reset();
            known.decided_at = {};
        }
    }
}

std::optional<upstream_version> version_history::in_use(const service_name& service) const {
    const auto known = services_.find(service);
    return known == services_.end() ? std::nullopt : known->second.in_use;
}

bool version_history::withdrawn(const service_name& service, const upstream_version& version) const {
    const auto known = services_.find(service);
    return known != services_.end() && known->second.withdrawn.contains(version);
}

std::vector<rollout_update> version_history::finished() const {
    std::vector<rollout_update> result;
    for (const auto& [service, known] : services_) {
        for (const auto& [at, update] : known.finished) {
            result.push_back(update);
        }
    }
    return result;
}

} // namespace goldcrestwell
