#include "goldcrestwell/core/routing/share_picker.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

constexpr std::int64_t whole_call = full_share.value();
// A version with a smaller share never takes the calls of a version without a usable upstream: a move's first stages
// (1 % and 5 %) must stay small even when the old version is gone.
constexpr std::int64_t fallback_share = whole_call / 4;

} // namespace

void share_picker::follow(const std::vector<version_share>& shares) {
    std::erase_if(accounts_, [&shares](const account& known) {
        return std::ranges::none_of(shares,
                                    [&known](const version_share& item) { return item.version == known.version; });
    });
    for (const auto& item : shares) {
        auto found = std::ranges::find(accounts_, item.version, &account::version);
        if (found == accounts_.end()) {
            // The random phase keeps the nodes of a mesh from sending their first candidate calls at the same time.
            std::uniform_int_distribution<std::int64_t> phase{0, whole_call - 1};
            accounts_.push_back({.version = item.version, .credit = phase(random_)});
            found = std::prev(accounts_.end());
        }
        found->share = item.share.value();
    }
}

share_picker::account* share_picker::largest(const usable_hook& usable) {
    account* found = nullptr;
    for (auto& item : accounts_) {
        item.usable = item.share > 0 && usable(item.version);
        if (item.usable && item.share >= fallback_share && (found == nullptr || item.share > found->share)) {
            found = &item;
        }
    }
    return found;
}

std::optional<upstream_version> share_picker::choose(const usable_hook& usable) {
    auto* const rest = largest(usable);
    account* due = nullptr;
    for (auto& item : accounts_) {
        if (!item.usable) {
            // Calls that a version missed while it was unusable are not made up for in a burst.
            item.credit = std::min(item.credit, whole_call);
        } else if (&item != rest && item.credit >= whole_call && (due == nullptr || item.credit > due->credit)) {
            due = &item;
        }
    }
    auto* const chosen = due != nullptr ? due : rest;
    if (chosen == nullptr) {
        return std::nullopt;
    }
    // The lower bound forgives calls taken over from unusable versions, which would otherwise starve the version later.
    chosen->credit = std::max(chosen->credit - whole_call, -whole_call);
    return chosen->version;
}

std::optional<upstream_version> share_picker::pick(const std::vector<version_share>& shares,
                                                   const usable_hook& usable) {
    follow(shares);
    for (auto& item : accounts_) {
        item.credit += item.share;
    }
    return choose(usable);
}

std::optional<upstream_version> share_picker::pick_again(const std::vector<version_share>& shares,
                                                         const usable_hook& usable) {
    follow(shares);
    return choose(usable);
}

} // namespace goldcrestwell
