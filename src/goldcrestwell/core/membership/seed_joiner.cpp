#include "goldcrestwell/core/membership/seed_joiner.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

seed_joiner::seed_joiner(seed_joiner_options options)
    : options_{std::move(options)}, random_{options_.seed}, backoff_{options_.timing.join_backoff} {
    std::shuffle(options_.seeds.begin(), options_.seeds.end(), random_);
}

void seed_joiner::start(const steady_time now) {
    backoff_ = options_.timing.join_backoff;
    next_ = now + random_part(options_.timing.join_backoff);
}

void seed_joiner::set_seeds(std::vector<node_id> seeds, const steady_time now) {
    options_.seeds = std::move(seeds);
    std::shuffle(options_.seeds.begin(), options_.seeds.end(), random_);
    backoff_ = options_.timing.join_backoff;
    next_ = now;
}

void seed_joiner::on_timer(const steady_time now) {
    if (!next_ || now < *next_) {
        return;
    }
    if (options_.alone()) {
        ping_seed(now);
    } else {
        ping_lost(now);
    }
}

void seed_joiner::ping_seed(const steady_time now) {
    next_ = now + backoff_ / 2 + random_part(backoff_);
    backoff_ = std::min(backoff_ * 2, options_.timing.join_backoff_limit);
    if (!options_.seeds.empty()) {
        for (std::size_t i = 0; i < std::min(options_.timing.join_fan_out, options_.seeds.size()); ++i) {
            options_.ping(options_.seeds[cursor_++ % options_.seeds.size()]);
        }
        return;
    }
    const auto lost = options_.lost();
    if (!lost.empty()) {
        options_.ping(lost[cursor_++ % lost.size()]);
    }
}

void seed_joiner::ping_lost(const steady_time now) {
    backoff_ = options_.timing.join_backoff;
    next_ = now + options_.timing.reconnect_interval / 2 + random_part(options_.timing.reconnect_interval);
    const auto lost = options_.lost();
    if (!lost.empty()) {
        options_.ping(lost[std::uniform_int_distribution<std::size_t>{0, lost.size() - 1}(random_)]);
    }
}

std::chrono::microseconds seed_joiner::random_part(const std::chrono::milliseconds longest) {
    std::uniform_int_distribution<std::chrono::microseconds::rep> part{0, std::chrono::microseconds{longest}.count()};
    return std::chrono::microseconds{part(random_)};
}

} // namespace goldcrestwell
