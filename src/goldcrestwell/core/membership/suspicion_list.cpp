#include "goldcrestwell/core/membership/suspicion_list.hpp"

namespace goldcrestwell {

void suspicion_list::start(const suspicion& suspect, const steady_time deadline) {
    const auto known = entries_.find(suspect.id);
    if (known != entries_.end()) {
        if (known->second.generation == suspect.generation) {
            return;
        }
        cancel(suspect.id);
    }
    entries_[suspect.id] = {.generation = suspect.generation, .deadline = deadline};
    deadlines_.emplace(deadline, suspect.id);
}

void suspicion_list::cancel(const node_id id) {
    const auto known = entries_.find(id);
    if (known == entries_.end()) {
        return;
    }
    deadlines_.erase({known->second.deadline, id});
    entries_.erase(known);
}

void suspicion_list::restart_all(const steady_time deadline) {
    deadlines_.clear();
    for (auto& [id, item] : entries_) {
        item.deadline = deadline;
        deadlines_.emplace(deadline, id);
    }
}

std::optional<suspicion> suspicion_list::take_due(const steady_time now) {
    if (deadlines_.empty() || deadlines_.begin()->first > now) {
        return std::nullopt;
    }
    const auto id = deadlines_.begin()->second;
    const suspicion due{.id = id, .generation = entries_.at(id).generation};
    cancel(id);
    return due;
}

std::optional<steady_time> suspicion_list::next_deadline() const {
    if (deadlines_.empty()) {
        return std::nullopt;
    }
    return deadlines_.begin()->first;
}

} // namespace goldcrestwell
