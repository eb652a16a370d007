#include "goldcrestwell/core/membership/node_directory.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

node_directory::node_directory(node_directory_options options)
    : options_{std::move(options)}, random_{options_.seed}, wait_{options_.retry_min} {}

void node_directory::start() {
    options_.write_entry();
}

void node_directory::on_written(const bool confirmed, const steady_time now) {
    if (!confirmed) {
        retry(now);
        return;
    }
    written_ = true;
    wait_ = options_.retry_min;
    options_.read_entries();
}

void node_directory::on_entries(const std::optional<std::vector<node_id>>& entries, const steady_time now) {
    if (!entries) {
        retry(now);
        return;
    }
    wait_ = options_.retry_min;
    next_ = now + options_.alone_interval;
    options_.found(*entries);
}

void node_directory::on_timer(const steady_time now) {
    if (!next_ || now < *next_) {
        return;
    }
    next_.reset();
    if (!written_) {
        options_.write_entry();
    } else if (options_.alone()) {
        options_.read_entries();
    } else {
        next_ = now + options_.alone_interval;
    }
}

void node_directory::retry(const steady_time now) {
    std::uniform_int_distribution<std::chrono::milliseconds::rep> part{wait_.count() / 2, wait_.count()};
    next_ = now + std::chrono::milliseconds{part(random_)};
    wait_ = std::min(wait_ * 2, options_.retry_max);
}

} // namespace goldcrestwell
