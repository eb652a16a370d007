#include "goldcrestwell/core/node/edit_tracker.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

edit_tracker::edit_tracker(edit_tracker_options options) : options_{std::move(options)} {}

void edit_tracker::submit(const table_edit& edit, decision_hook decided, const steady_time now) {
    pending_.insert_or_assign(edit.id, pending_edit{.edit = edit,
                                                    .decided = std::move(decided),
                                                    .next_append = now + options_.append_interval,
                                                    .expires_at = now + options_.verdict_timeout});
    options_.append_record(edit);
}

void edit_tracker::on_verdict(const edit_verdict& verdict) {
    auto found = pending_.extract(verdict.id);
    if (!found.empty()) {
        found.mapped().decided(verdict);
    }
}

void edit_tracker::on_timer(const steady_time now) {
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        auto& waiting = entry->second;
        if (now >= waiting.expires_at) {
            const auto decided = std::move(waiting.decided);
            entry = pending_.erase(entry);
            decided(std::nullopt);
            continue;
        }
        if (now >= waiting.next_append) {
            waiting.next_append = now + options_.append_interval;
            options_.append_record(waiting.edit);
        }
        ++entry;
    }
}

std::optional<steady_time> edit_tracker::next_timer() const {
    std::optional<steady_time> next;
    for (const auto& [id, waiting] : pending_) {
        const auto due = std::min(waiting.next_append, waiting.expires_at);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

} // namespace goldcrestwell
