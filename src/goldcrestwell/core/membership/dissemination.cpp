#include "goldcrestwell/core/membership/dissemination.hpp"

#include <algorithm>
#include <limits>

namespace goldcrestwell {

namespace {

/** Limits the work for one datagram when many updates do not fit into the remaining space. */
constexpr std::size_t scan_limit = 64;
/** Lower bound of the encoded size of an update; with less space left the selection ends. */
constexpr std::size_t smallest_fact = 24;

/** Queue length above which each join update is sent less often, because every transmission delays all the others. */
constexpr std::size_t crowd = 64;
/** Reaches 94 % of the nodes; anti-entropy reaches the rest at less than the cost of three more transmissions. */
constexpr std::size_t crowd_limit = 3;

bool is_urgent(const control_priority priority) {
    return priority <= control_priority::leaving;
}

} // namespace

void dissemination::add(const fact_key& key, const control_priority priority, const size_type bytes,
                        const size_type extra) {
    erase(key);
    const entry item{.priority = priority, .bytes = bytes, .extra = extra, .sent = 0, .sequence = ++sequence_};
    entries_.emplace(key, item);
    order_.insert(rank_of(key, item));
}

void dissemination::erase(const fact_key& key) {
    const auto known = entries_.find(key);
    if (known == entries_.end()) {
        return;
    }
    order_.erase(rank_of(key, known->second));
    entries_.erase(known);
}

std::vector<fact_key> dissemination::take(size_type room, const bool urgent_only, const size_type limit) {
    std::vector<fact_key> taken;
    size_type scanned = 0;
    for (const auto& next : order_) {
        if (room < smallest_fact || ++scanned > scan_limit || (urgent_only && !is_urgent(next.priority))) {
            break;
        }
        const auto bytes = entries_.at(next.key).bytes;
        if (bytes <= room) {
            room -= bytes;
            taken.push_back(next.key);
        }
    }
    for (const auto& key : taken) {
        count_sent(key, limit);
    }
    return taken;
}

void dissemination::count_heard(const fact_key& key, const size_type limit) {
    const auto known = entries_.find(key);
    if (known != entries_.end() && !is_urgent(known->second.priority)) {
        count_sent(key, limit);
    }
}

std::optional<control_priority> dissemination::first_priority() const {
    if (order_.empty()) {
        return std::nullopt;
    }
    return order_.begin()->priority;
}

bool dissemination::has_urgent() const {
    const auto first = first_priority();
    return first && is_urgent(*first);
}

dissemination::rank dissemination::rank_of(const fact_key& key, const entry& item) {
    return {.priority = item.priority,
            .sent = item.sent,
            .age = std::numeric_limits<std::uint64_t>::max() - item.sequence,
            .key = key};
}

void dissemination::count_sent(const fact_key& key, const size_type limit) {
    const auto known = entries_.find(key);
    order_.erase(rank_of(key, known->second));
    const auto crowded = entries_.size() > crowd && known->second.priority == control_priority::join;
    const auto times = crowded ? std::min(limit, crowd_limit) : limit + known->second.extra;
    if (++known->second.sent >= times) {
        entries_.erase(known);
        return;
    }
    order_.insert(rank_of(key, known->second));
}

} // namespace goldcrestwell
