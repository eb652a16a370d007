#include "goldcrestwell/core/call/work_queue.hpp"

namespace goldcrestwell {

void work_queue::push(const row_key& row, const attempt_id& id) {
    auto& state = rows_[row];
    const auto position = ++last_position_;
    state.waiting.emplace(position, id);
    state.positions.emplace(id, position);
    ++size_;
}

void work_queue::erase(const row_key& row, const attempt_id& id) {
    const auto found = rows_.find(row);
    if (found == rows_.end()) {
        return;
    }
    auto& state = found->second;
    if (const auto position = state.positions.find(id); position != state.positions.end()) {
        state.waiting.erase(position->second);
        state.positions.erase(position);
        --size_;
    }
    if (state.waiting.empty() && state.running == 0) {
        rows_.erase(found);
    }
}

std::optional<attempt_id> work_queue::pop(const std::function<std::uint32_t(const attempt_id&)>& row_limit) {
    row_state* best = nullptr;
    for (auto& [row, state] : rows_) {
        if (state.waiting.empty()) {
            continue;
        }
        const auto& [position, id] = *state.waiting.begin();
        const auto earlier = best == nullptr || position < best->waiting.begin()->first;
        if (earlier && state.running < row_limit(id)) {
            best = &state;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto id = best->waiting.begin()->second;
    best->waiting.erase(best->waiting.begin());
    best->positions.erase(id);
    --size_;
    return id;
}

void work_queue::on_finished(const row_key& row) {
    const auto found = rows_.find(row);
    if (found == rows_.end() || found->second.running == 0) {
        return;
    }
    --found->second.running;
    if (found->second.waiting.empty() && found->second.running == 0) {
        rows_.erase(found);
    }
}

work_queue::size_type work_queue::queued(const row_key& row) const {
    const auto found = rows_.find(row);
    return found == rows_.end() ? 0 : found->second.waiting.size();
}

std::uint32_t work_queue::running(const row_key& row) const {
    const auto found = rows_.find(row);
    return found == rows_.end() ? 0 : found->second.running;
}

} // namespace goldcrestwell
