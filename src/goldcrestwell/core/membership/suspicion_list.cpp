#include "goldcrestwell/core/membership/suspicion_list.hpp"

namespace goldcrestwell {

void suspicion_list::start(const suspicion& suspect, const steady_time deadline) {
    const auto found = entries_.find(suspect.id);
    if (found != entries_.end()) {
        if (found->second.member_incarnation == suspect.member_incarnation) {
            return;
        }
        cancel(suspect.id);
    }
    entries_[suspect.id] = {.member_incarnation = suspect.member_incarnation, .deadline = deadline};
    deadlines_.emplace(deadline, suspect.id);
}

void suspicion_list::cancel(const node_id id) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    deadlines_.erase({found->second.deadline, id});
    entries_.erase(found);
}

void suspicion_list::restart_all(const steady_time deadline) {
    deadlines_.clear();
    for (auto& [id, item] : entries_) {
        item.deadline = deadline;
        deadlines_.emplace(deadline, id);
    }
}

std::optional<suspicion> suspicion_list::take_expired(const steady_time now) {
    if (deadlines_.empty() || deadlines_.begin()->first > now) {
        return std::nullopt;
    }
    const auto id = deadlines_.begin()->second;
    const suspicion expired{.id = id, .member_incarnation = entries_.at(id).member_incarnation};
    cancel(id);
    return expired;
}

std::optional<steady_time> suspicion_list::next_deadline() const {
    if (deadlines_.empty()) {
        return std::nullopt;
    }
    return deadlines_.begin()->first;
}

} // namespace goldcrestwell
