#include "goldcrestwell/core/membership/dissemination.hpp"

#include <algorithm>
#include <limits>

namespace goldcrestwell {

namespace {

/** Updates checked for one datagram; limits the work when many do not fit into the remaining space. */
constexpr std::size_t max_scanned_updates = 64;
/** Lower bound of the encoded size of an update; with less space left the selection ends. */
constexpr std::size_t min_update_bytes = 24;

/** Queue length above which each join update is sent less often, because every transmission delays all the others. */
constexpr std::size_t long_queue_size = 64;
/**
 * Transmissions of a join update in a long queue. They reach 94 % of the nodes; anti-entropy reaches the rest at less
 * than the cost of three more transmissions.
 */
constexpr std::size_t long_queue_transmissions = 3;

bool is_urgent(const control_priority priority) {
    return priority <= control_priority::leaving;
}

} // namespace

void dissemination::add(const update_key& key, const control_priority priority, const size_type bytes,
                        const size_type extra_transmissions) {
    erase(key);
    const entry item{.priority = priority,
                     .bytes = bytes,
                     .extra_transmissions = extra_transmissions,
                     .transmissions = 0,
                     .sequence = ++sequence_};
    entries_.emplace(key, item);
    order_.insert(sort_key_of(key, item));
}

void dissemination::erase(const update_key& key) {
    const auto known = entries_.find(key);
    if (known == entries_.end()) {
        return;
    }
    order_.erase(sort_key_of(key, known->second));
    entries_.erase(known);
}

std::vector<update_key> dissemination::take(size_type free_bytes, const bool urgent_only,
                                            const size_type max_transmissions) {
    std::vector<update_key> selected;
    size_type scanned = 0;
    for (const auto& next : order_) {
        if (free_bytes < min_update_bytes || ++scanned > max_scanned_updates ||
            (urgent_only && !is_urgent(next.priority))) {
            break;
        }
        const auto bytes = entries_.at(next.key).bytes;
        if (bytes <= free_bytes) {
            free_bytes -= bytes;
            selected.push_back(next.key);
        }
    }
    for (const auto& key : selected) {
        count_transmission(key, max_transmissions);
    }
    return selected;
}

void dissemination::count_received(const update_key& key, const size_type max_transmissions) {
    const auto known = entries_.find(key);
    if (known != entries_.end() && !is_urgent(known->second.priority)) {
        count_transmission(key, max_transmissions);
    }
}

std::optional<control_priority> dissemination::next_priority() const {
    if (order_.empty()) {
        return std::nullopt;
    }
    return order_.begin()->priority;
}

bool dissemination::has_urgent() const {
    const auto first = next_priority();
    return first && is_urgent(*first);
}

dissemination::sort_key dissemination::sort_key_of(const update_key& key, const entry& item) {
    return {.priority = item.priority,
            .transmissions = item.transmissions,
            .reverse_sequence = std::numeric_limits<std::uint64_t>::max() - item.sequence,
            .key = key};
}

void dissemination::count_transmission(const update_key& key, const size_type max_transmissions) {
    const auto known = entries_.find(key);
    order_.erase(sort_key_of(key, known->second));
    const auto in_long_queue = entries_.size() > long_queue_size && known->second.priority == control_priority::join;
    const auto transmission_limit = in_long_queue ? std::min(max_transmissions, long_queue_transmissions)
                                                  : max_transmissions + known->second.extra_transmissions;
    if (++known->second.transmissions >= transmission_limit) {
        entries_.erase(known);
        return;
    }
    order_.insert(sort_key_of(key, known->second));
}

} // namespace goldcrestwell
