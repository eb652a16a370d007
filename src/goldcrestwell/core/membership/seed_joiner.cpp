#include "goldcrestwell/core/membership/seed_joiner.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

// Nodes that start together begin to listen within 0.3 s of each other; three rounds also reach the late ones.
constexpr int sweeps_of_new_seeds = 3;

} // namespace

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
    sweeps_left_ = options_.timing.join_sweep == 0 ? 0 : sweeps_of_new_seeds;
    next_ = now;
}

void seed_joiner::on_timer(const steady_time now) {
    if (!next_ || now < *next_) {
        return;
    }
    if (sweeps_left_ > 0) {
        sweep(now);
    } else if (options_.alone()) {
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
    ping_some(options_.timing.join_fan_out);
}

// A node that cannot read the list of nodes is found only by nodes that can, so these contact all nodes at once.
void seed_joiner::sweep(const steady_time now) {
    --sweeps_left_;
    next_ = now + options_.timing.join_backoff;
    ping_some(options_.timing.join_sweep);
}

void seed_joiner::ping_some(const std::size_t count) {
    const auto lost = options_.lost();
    for (std::size_t i = 0; i < std::min(count, lost.size()); ++i) {
        options_.ping(lost[cursor_++ % lost.size()]);
    }
}

std::chrono::microseconds seed_joiner::random_part(const std::chrono::milliseconds longest) {
    std::uniform_int_distribution<std::chrono::microseconds::rep> part{0, std::chrono::microseconds{longest}.count()};
    return std::chrono::microseconds{part(random_)};
}

} // namespace goldcrestwell
