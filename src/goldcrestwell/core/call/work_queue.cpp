#include "goldcrestwell/core/call/work_queue.hpp"

#include <iterator>
#include <limits>
#include <tuple>

namespace goldcrestwell {

void work_queue::push(const row_key& row, const attempt_id& id, const queue_key& key) {
    auto& state = rows_[row];
    state.key = key;
    const queue_position position{key.due, ++last_position_};
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

bool work_queue::goes_before(const queue_key& row, const queue_key& key) noexcept {
    return row.depth != key.depth ? row.depth > key.depth : row.priority < key.priority;
}

work_queue::row_head work_queue::head_of(const row_state& state, const std::chrono::microseconds service_time,
                                         const steady_time now) {
    const auto in_time = state.waiting.lower_bound({now + service_time, 0});
    if (in_time != state.waiting.end()) {
        return {.entry = in_time, .in_time = true};
    }
    return {.entry = state.waiting.begin(), .in_time = false};
}

std::optional<attempt_id> work_queue::pop(const std::function<std::uint32_t(const attempt_id&)>& row_limit,
                                          const service_time_hook& service_time, const steady_time now) {
    row_state* best = nullptr;
    row_head best_head;
    const auto takes_oldest = ++pops_ % fifo_interval == 0;
    const auto order = [takes_oldest](const row_state& state, const row_head& head) {
        const auto& [due, position] = head.entry->first;
        const auto by_age = takes_oldest && head.in_time;
        const auto inverse_depth = std::numeric_limits<std::uint32_t>::max() - state.key.depth;
        return std::tuple{
            !head.in_time, by_age ? position : 0, by_age ? 0 : inverse_depth, by_age ? 0 : state.key.priority, due,
            position};
    };
    for (auto& [row, state] : rows_) {
        if (state.waiting.empty()) {
            continue;
        }
        const auto head = head_of(state, service_time(row), now);
        const auto earlier = best == nullptr || order(state, head) < order(*best, best_head);
        if (earlier && state.running < row_limit(head.entry->second)) {
            best = &state;
            best_head = head;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto id = best_head.entry->second;
    best->waiting.erase(best_head.entry);
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

std::chrono::microseconds work_queue::work_before(const queue_key& key, const service_time_hook& service_time,
                                                  const steady_time now) const {
    std::chrono::microseconds work{};
    for (const auto& [row, state] : rows_) {
        const auto row_goes_first = goes_before(state.key, key);
        if (state.waiting.empty() || (!row_goes_first && goes_before(key, state.key))) {
            continue;
        }
        const auto row_service_time = service_time(row);
        const auto first = state.waiting.lower_bound({now + row_service_time, 0});
        const auto last = row_goes_first ? state.waiting.end() : state.waiting.upper_bound({key.due, last_position_});
        for (auto entry = first; entry != last && entry != state.waiting.end(); ++entry) {
            work += row_service_time;
        }
    }
    return work;
}

work_queue::size_type work_queue::late_count(const service_time_hook& service_time, const steady_time now) const {
    size_type count = 0;
    for (const auto& [row, state] : rows_) {
        const auto in_time = state.waiting.lower_bound({now + service_time(row), 0});
        count += static_cast<size_type>(std::distance(state.waiting.begin(), in_time));
    }
    return count;
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
