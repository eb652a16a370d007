#include "goldcrestwell/core/membership/node_directory.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

node_directory::node_directory(node_directory_options options)
    : options_{std::move(options)}, random_{options_.seed}, retry_delay_{options_.min_retry_delay} {}

void node_directory::start() {
    read();
}

void node_directory::read() {
    read_in_flight_ = true;
    options_.read_node_directory();
}

void node_directory::on_written(const bool confirmed, const steady_time now) {
    if (!confirmed) {
        next_call_ = next_retry(now);
        return;
    }
    entry_written_ = true;
    retry_delay_ = options_.min_retry_delay;
    next_call_ = now + options_.new_entry_delay;
}

void node_directory::on_node_directory_read(const std::optional<std::vector<node_id>>& entries, const steady_time now) {
    read_in_flight_ = false;
    const auto is_check = std::exchange(check_in_flight_, false);
    if (!entries) {
        (is_check ? next_check_ : next_call_) = next_retry(now);
        return;
    }
    directory_read_ = true;
    retry_delay_ = options_.min_retry_delay;
    next_call_ = now + options_.isolated_read_interval;
    const auto has_own_entry = std::ranges::find(*entries, options_.self) != entries->end();
    entry_written_ = has_own_entry || (entry_written_ && !is_check);
    if (!entry_written_) {
        next_call_.reset();
        options_.write_node_entry();
    }
    options_.nodes_discovered(*entries);
}

void node_directory::on_history_replaced(const steady_time now) {
    // The first read, which is in flight or will be repeated, checks for the entry anyway.
    if (!directory_read_ || check_in_flight_) {
        return;
    }
    if (!next_check_ || *next_check_ > now + options_.max_check_delay) {
        next_check_ = now + random_delay({}, options_.max_check_delay);
    }
}

void node_directory::on_timer(const steady_time now) {
    if (is_check_due(now)) {
        next_check_.reset();
        check_in_flight_ = true;
        read();
        return;
    }
    if (!next_call_ || now < *next_call_) {
        return;
    }
    next_call_.reset();
    if (directory_read_ && !entry_written_) {
        options_.write_node_entry();
    } else if (!directory_read_ || options_.is_isolated()) {
        read();
    } else {
        next_call_ = now + options_.isolated_read_interval;
    }
}

std::optional<steady_time> node_directory::next_timer() const noexcept {
    // The result of a read in flight may belong to the replaced history, so the check waits for its end.
    if (!next_check_ || read_in_flight_) {
        return next_call_;
    }
    return next_call_ ? std::min(*next_call_, *next_check_) : *next_check_;
}

bool node_directory::is_check_due(const steady_time now) const noexcept {
    return next_check_ && !read_in_flight_ && now >= *next_check_;
}

steady_time node_directory::next_retry(const steady_time now) {
    // A store in trouble is not helped by hundreds of nodes that repeat a call of which nothing depends for now.
    const auto is_needed = options_.is_isolated() || (!directory_read_ && options_.is_urgent());
    const auto delay = is_needed ? retry_delay_ : options_.connected_retry_delay;
    retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
    return now + random_delay(delay / 2, delay);
}

std::chrono::milliseconds node_directory::random_delay(const std::chrono::milliseconds min,
                                                       const std::chrono::milliseconds max) {
    std::uniform_int_distribution<std::chrono::milliseconds::rep> distribution{min.count(), max.count()};
    return std::chrono::milliseconds{distribution(random_)};
}

} // namespace goldcrestwell
