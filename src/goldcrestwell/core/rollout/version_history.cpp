#include "goldcrestwell/core/rollout/version_history.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/core/message/join.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace goldcrestwell {

namespace {

// A node that has just started discovers the upstreams of a service one by one. After this time only a finished rollout
// changes the current version.
constexpr std::chrono::seconds discovery_period{3};
// Only the last few versions of a service can still have upstreams.
constexpr std::size_t max_finished_rollouts = 8;
constexpr std::size_t max_offsets = 32;

// A record that the copy holds keeps its number in the later history.
bool is_original(const std::pair<const log_offset, upstream_version>& entry, const upstream_version& version,
                 const log_offset copy) {
    return entry.second == version && era_of(entry.first) < era_of(copy) && number_of(entry.first) == number_of(copy);
}

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
    add_offset(service, version, offset);
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

void version_history::add_offset(const service_name& service, const upstream_version& version,
                                 const log_offset offset) {
    auto& offsets = services_[service].versions_by_offset;
    offsets.insert_or_assign(offset, version);
    if (offsets.size() > max_offsets) {
        offsets.erase(offsets.begin());
    }
}

bool version_history::is_same_request(const service_name& service, const upstream_version& version,
                                      const log_offset earlier, const log_offset later) const {
    const auto versions = services_.find(service);
    return versions != services_.end() && is_same_request(versions->second, version, earlier, later);
}

bool version_history::is_superseded(const service_name& service, const upstream_version& version,
                                    const log_offset offset) const {
    const auto versions = services_.find(service);
    if (versions == services_.end()) {
        return false;
    }
    const auto& offsets = versions->second.versions_by_offset;
    const auto original =
        std::ranges::find_if(offsets, [&](const auto& entry) { return is_original(entry, version, offset); });
    if (original == offsets.end()) {
        return false;
    }
    const auto is_later_request = [&](const auto& entry) {
        const auto is_same =
            entry.second == version && is_same_request(versions->second, version, original->first, entry.first);
        return !is_same && !is_copy(versions->second, entry.second, entry.first);
    };
    const auto end_of_earlier_eras = offsets.lower_bound(make_store_offset(era_of(offset), 0));
    return std::any_of(std::next(original), end_of_earlier_eras, is_later_request);
}

bool version_history::is_copy(const service_state& versions, const upstream_version& version, const log_offset offset) {
    return std::ranges::any_of(versions.versions_by_offset,
                               [&](const auto& entry) { return is_original(entry, version, offset); });
}

// An operator writes only the newest request of a service again, so a request for the same version that follows in a
// later history, without another one between, is the same one. Of two requests of one history, the later one is new.
bool version_history::is_same_request(const service_state& versions, const upstream_version& version,
                                      const log_offset earlier, const log_offset later) {
    if (era_of(earlier) >= era_of(later)) {
        return false;
    }
    if (number_of(earlier) == number_of(later)) {
        return true;
    }
    auto era = era_of(earlier);
    const auto continues = [&](const auto& entry) {
        if (entry.second != version && is_copy(versions, entry.second, entry.first)) {
            return true;
        }
        const auto previous = std::exchange(era, era_of(entry.first));
        return entry.second == version && previous < era;
    };
    const auto& offsets = versions.versions_by_offset;
    return std::all_of(offsets.upper_bound(earlier), offsets.lower_bound(later), continues) && era < era_of(later);
}

log_offset version_history::first_offset(const service_state& versions, const upstream_version& version,
                                         const log_offset offset) {
    const auto& offsets = versions.versions_by_offset;
    const auto first = std::ranges::find_if(offsets, [&](const auto& item) {
        return item.second == version && is_same_request(versions, version, item.first, offset);
    });
    return first == offsets.end() ? offset : first->first;
}

void version_history::add_finished(service_state& versions, rollout_update update) {
    const auto& version = update.key.row.version;
    const auto offset = update.key.row_version;
    const auto same = std::ranges::find_if(versions.finished_rollouts, [&](const auto& item) {
        return item.second.key.row.version == version && (is_same_request(versions, version, item.first, offset) ||
                                                          is_same_request(versions, version, offset, item.first));
    });
    if (same != versions.finished_rollouts.end()) {
        update.key = std::max(update.key, same->second.key);
        update.state = join(update.state, same->second.state);
        versions.finished_rollouts.erase(same);
    }
    versions.finished_rollouts.insert_or_assign(update.key.row_version, update);
    if (versions.finished_rollouts.size() > max_finished_rollouts) {
        versions.finished_rollouts.erase(versions.finished_rollouts.begin());
    }
}

void version_history::on_finished(const rollout_update& update) {
    if (!update.state.done && !update.state.rolled_back) {
        return;
    }
    const service_name service{update.key.row.route.value};
    const auto& version = update.key.row.version;
    const auto offset = update.key.row_version;
    add_offset(service, version, offset);
    auto& versions = services_[service];
    add_finished(versions, update);
    if (!update.state.rolled_back) {
        if (!versions.current_version ||
            first_offset(versions, version, offset) >=
                first_offset(versions, *versions.current_version, versions.current_offset)) {
            versions.current_version = version;
            versions.current_offset = offset;
        }
        if (const auto entry = versions.rollback_offsets.find(version);
            entry != versions.rollback_offsets.end() &&
            first_offset(versions, version, entry->second) < first_offset(versions, version, offset)) {
            versions.rollback_offsets.erase(entry);
        }
        return;
    }
    if (versions.current_version == version &&
        first_offset(versions, version, offset) < first_offset(versions, version, versions.current_offset)) {
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
        // A node that knows the last request by another offset recognizes it if no earlier one comes before.
        std::transform(versions.finished_rollouts.rbegin(), versions.finished_rollouts.rend(),
                       std::back_inserter(result), [](const auto& item) { return item.second; });
    }
    return result;
}

} // namespace goldcrestwell
