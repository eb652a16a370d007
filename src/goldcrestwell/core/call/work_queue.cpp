#include "goldcrestwell/core/call/work_queue.hpp"

#include <iterator>
#include <limits>
#include <tuple>

namespace goldcrestwell {

void work_queue::push(const row_key& row, const attempt_id& id, const queue_rank& rank) {
    auto& state = rows_[row];
    state.rank = rank;
    const place where{rank.due, ++last_position_};
    state.waiting.emplace(where, id);
    state.places.emplace(id, where);
    ++size_;
}

void work_queue::erase(const row_key& row, const attempt_id& id) {
    const auto found = rows_.find(row);
    if (found == rows_.end()) {
        return;
    }
    auto& state = found->second;
    if (const auto where = state.places.find(id); where != state.places.end()) {
        state.waiting.erase(where->second);
        state.places.erase(where);
        --size_;
    }
    if (state.waiting.empty() && state.running == 0) {
        rows_.erase(found);
    }
}

bool work_queue::precedes(const queue_rank& row, const queue_rank& rank) noexcept {
    return row.depth != rank.depth ? row.depth > rank.depth : row.priority < rank.priority;
}

work_queue::row_head work_queue::head_of(const row_state& state, const std::chrono::microseconds needed,
                                         const steady_time now) {
    const auto in_time = state.waiting.lower_bound({now + needed, 0});
    if (in_time != state.waiting.end()) {
        return {.entry = in_time, .in_time = true};
    }
    return {.entry = state.waiting.begin(), .in_time = false};
}

std::optional<attempt_id> work_queue::pop(const std::function<std::uint32_t(const attempt_id&)>& row_limit,
                                          const time_hook& needed, const steady_time now) {
    row_state* best = nullptr;
    row_head best_head;
    const auto by_arrival = ++turns_ % turns_by_arrival == 0;
    const auto order = [by_arrival](const row_state& state, const row_head& head) {
        const auto& [due, position] = head.entry->first;
        const auto oldest = by_arrival && head.in_time;
        const auto shallow = std::numeric_limits<std::uint32_t>::max() - state.rank.depth;
        return std::tuple{
            !head.in_time, oldest ? position : 0, oldest ? 0 : shallow, oldest ? 0 : state.rank.priority, due,
            position};
    };
    for (auto& [row, state] : rows_) {
        if (state.waiting.empty()) {
            continue;
        }
        const auto head = head_of(state, needed(row), now);
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
    best->places.erase(id);
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

std::chrono::microseconds work_queue::work_before(const queue_rank& rank, const time_hook& needed,
                                                  const steady_time now) const {
    std::chrono::microseconds work{};
    for (const auto& [row, state] : rows_) {
        const auto first_served = precedes(state.rank, rank);
        if (state.waiting.empty() || (!first_served && precedes(rank, state.rank))) {
            continue;
        }
        const auto each = needed(row);
        const auto first = state.waiting.lower_bound({now + each, 0});
        const auto last = first_served ? state.waiting.end() : state.waiting.upper_bound({rank.due, last_position_});
        for (auto entry = first; entry != last && entry != state.waiting.end(); ++entry) {
            work += each;
        }
    }
    return work;
}

work_queue::size_type work_queue::late(const time_hook& needed, const steady_time now) const {
    size_type count = 0;
    for (const auto& [row, state] : rows_) {
        const auto in_time = state.waiting.lower_bound({now + needed(row), 0});
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
