#include "goldcrestwell/core/membership/node_directory.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

node_directory::node_directory(node_directory_options options)
    : options_{std::move(options)}, random_{options_.seed}, retry_delay_{options_.min_retry_delay} {}

void node_directory::start() {
    options_.read_node_directory();
}

void node_directory::on_written(const bool confirmed, const steady_time now) {
    if (!confirmed) {
        schedule_retry(now);
        return;
    }
    entry_written_ = true;
    retry_delay_ = options_.min_retry_delay;
    next_call_ = now + options_.new_entry_delay;
}

void node_directory::on_node_directory_read(const std::optional<std::vector<node_id>>& entries, const steady_time now) {
    if (!entries) {
        schedule_retry(now);
        return;
    }
    directory_read_ = true;
    retry_delay_ = options_.min_retry_delay;
    next_call_ = now + options_.isolated_read_interval;
    entry_written_ = entry_written_ || std::ranges::find(*entries, options_.self) != entries->end();
    if (!entry_written_) {
        next_call_.reset();
        options_.write_node_entry();
    }
    options_.nodes_discovered(*entries);
}

void node_directory::on_timer(const steady_time now) {
    if (!next_call_ || now < *next_call_) {
        return;
    }
    next_call_.reset();
    if (directory_read_ && !entry_written_) {
        options_.write_node_entry();
    } else if (!directory_read_ || options_.is_isolated()) {
        options_.read_node_directory();
    } else {
        next_call_ = now + options_.isolated_read_interval;
    }
}

void node_directory::schedule_retry(const steady_time now) {
    // A store in trouble is not helped by hundreds of nodes that repeat a call of which nothing depends for now.
    const auto is_needed = options_.is_isolated() || (!directory_read_ && options_.is_urgent());
    const auto delay = is_needed ? retry_delay_ : options_.connected_retry_delay;
    std::uniform_int_distribution<std::chrono::milliseconds::rep> distribution{delay.count() / 2, delay.count()};
    next_call_ = now + std::chrono::milliseconds{distribution(random_)};
    retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
}

} // namespace goldcrestwell
