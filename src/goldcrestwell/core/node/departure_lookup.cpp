#include "goldcrestwell/core/node/departure_lookup.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

departure_lookup::departure_lookup(departure_lookup_options options)
    : options_{std::move(options)}, random_{options_.seed} {}

void departure_lookup::on_own_read_failed(const steady_time now) {
    if (query_at_) {
        query_at_ = std::min(*query_at_, now);
    }
}

void departure_lookup::on_query(const node_id from, const steady_time now) {
    if (waiting_.size() < options_.max_waiting_peers && std::ranges::find(waiting_, from) == waiting_.end()) {
        waiting_.push_back(from);
    }
    read_for_waiting(now);
}

void departure_lookup::read_for_waiting(const steady_time now) {
    if (!waiting_.empty() && !reading_ && now >= next_read_) {
        reading_ = true;
        next_read_ = now + options_.min_read_interval;
        options_.read(std::exchange(waiting_, {}));
    }
}

void departure_lookup::on_read(const std::optional<std::vector<host_departures>>& found) {
    reading_ = false;
    if (found) {
        for (const auto& host : *found) {
            options_.send_answer(host.node, host.departures);
        }
    }
}

void departure_lookup::on_timer(const steady_time now) {
    read_for_waiting(now);
    if (!query_at_ || now < *query_at_) {
        return;
    }
    query_at_ = now + options_.query_interval;
    if (const auto peers = options_.peers(); !peers.empty()) {
        options_.send_query(peers[std::uniform_int_distribution<std::size_t>{0, peers.size() - 1}(random_)]);
    }
}

std::optional<steady_time> departure_lookup::next_timer() const noexcept {
    if (waiting_.empty() || reading_) {
        return query_at_;
    }
    return query_at_ ? std::min(*query_at_, next_read_) : next_read_;
}

} // namespace goldcrestwell
