#include "goldcrestwell/core/routing/share_picker.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

constexpr std::int64_t credit_per_call = full_share.value();
// A version with a smaller share never takes over the calls of a version without a usable upstream: the first stages of
// a rollout (1 % and 5 %) must stay small even when the baseline version is gone.
constexpr std::int64_t min_fallback_share = credit_per_call / 4;

} // namespace

void share_picker::update_accounts(const std::vector<version_share>& shares) {
    std::erase_if(accounts_, [&shares](const account& known) {
        return std::ranges::none_of(shares,
                                    [&known](const version_share& item) { return item.version == known.version; });
    });
    for (const auto& item : shares) {
        auto found = std::ranges::find(accounts_, item.version, &account::version);
        if (found == accounts_.end()) {
            // The random phase prevents all nodes from sending their first candidate calls at the same time.
            std::uniform_int_distribution<std::int64_t> phase{0, credit_per_call - 1};
            accounts_.push_back({.version = item.version, .credit = phase(random_)});
            found = std::prev(accounts_.end());
        }
        found->share = item.share.value();
    }
}

share_picker::account* share_picker::find_fallback(const usable_hook& usable) {
    account* found = nullptr;
    for (auto& item : accounts_) {
        item.usable = item.share > 0 && usable(item.version);
        if (item.usable && item.share >= min_fallback_share && (found == nullptr || item.share > found->share)) {
            found = &item;
        }
    }
    return found;
}

std::optional<upstream_version> share_picker::choose(const usable_hook& usable) {
    auto* const fallback = find_fallback(usable);
    account* best_due = nullptr;
    for (auto& item : accounts_) {
        if (!item.usable) {
            // Limits the credit of unusable versions, so that they do not get a burst of calls afterwards.
            item.credit = std::min(item.credit, credit_per_call);
        } else if (&item != fallback && item.credit >= credit_per_call &&
                   (best_due == nullptr || item.credit > best_due->credit)) {
            best_due = &item;
        }
    }
    auto* const chosen = best_due != nullptr ? best_due : fallback;
    if (chosen == nullptr) {
        return std::nullopt;
    }
    // The lower bound disregards calls taken over from unusable versions, which would otherwise starve this version
    // later.
    chosen->credit = std::max(chosen->credit - credit_per_call, -credit_per_call);
    return chosen->version;
}

std::optional<upstream_version> share_picker::pick(const std::vector<version_share>& shares,
                                                   const usable_hook& usable) {
    update_accounts(shares);
    for (auto& item : accounts_) {
        item.credit += item.share;
    }
    return choose(usable);
}

std::optional<upstream_version> share_picker::pick_retry(const std::vector<version_share>& shares,
                                                         const usable_hook& usable) {
    update_accounts(shares);
    return choose(usable);
}

} // namespace goldcrestwell
