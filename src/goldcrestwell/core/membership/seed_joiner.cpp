#include "goldcrestwell/core/membership/seed_joiner.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

// Nodes that start together begin to listen within 0.3 s of each other; three rounds also reach the late ones.
constexpr int new_seed_rounds = 3;

} // namespace

seed_joiner::seed_joiner(seed_joiner_options options)
    : options_{std::move(options)}, random_{options_.seed}, backoff_{options_.timing.join_backoff} {
    std::shuffle(options_.seeds.begin(), options_.seeds.end(), random_);
}

void seed_joiner::start(const steady_time now) {
    backoff_ = options_.timing.join_backoff;
    next_round_ = now + random_delay(options_.timing.join_backoff);
}

void seed_joiner::set_seeds(std::vector<node_id> seeds, const steady_time now) {
    options_.seeds = std::move(seeds);
    std::shuffle(options_.seeds.begin(), options_.seeds.end(), random_);
    backoff_ = options_.timing.join_backoff;
    new_seed_rounds_left_ = options_.timing.new_seed_fan_out == 0 ? 0 : new_seed_rounds;
    next_round_ = now;
}

void seed_joiner::on_timer(const steady_time now) {
    if (!next_round_ || now < *next_round_) {
        return;
    }
    if (new_seed_rounds_left_ > 0) {
        ping_new_seeds(now);
    } else if (options_.is_isolated()) {
        ping_seed(now);
    } else {
        reconnect(now);
    }
}

void seed_joiner::ping_seed(const steady_time now) {
    next_round_ = now + backoff_ / 2 + random_delay(backoff_);
    backoff_ = std::min(backoff_ * 2, options_.timing.max_join_backoff);
    if (!options_.seeds.empty()) {
        for (std::size_t i = 0; i < std::min(options_.timing.join_fan_out, options_.seeds.size()); ++i) {
            options_.ping(options_.seeds[cursor_++ % options_.seeds.size()]);
        }
        return;
    }
    const auto targets = options_.reconnect_targets();
    if (!targets.empty()) {
        options_.ping(targets[cursor_++ % targets.size()]);
    }
}

void seed_joiner::reconnect(const steady_time now) {
    backoff_ = options_.timing.join_backoff;
    next_round_ = now + options_.timing.reconnect_interval / 2 + random_delay(options_.timing.reconnect_interval);
    ping_next(options_.timing.join_fan_out);
}

// A node that cannot read the list of nodes is found only by nodes that can, so these contact all nodes at once.
void seed_joiner::ping_new_seeds(const steady_time now) {
    --new_seed_rounds_left_;
    next_round_ = now + options_.timing.join_backoff;
    ping_next(options_.timing.new_seed_fan_out);
}

void seed_joiner::ping_next(const std::size_t count) {
    const auto targets = options_.reconnect_targets();
    for (std::size_t i = 0; i < std::min(count, targets.size()); ++i) {
        options_.ping(targets[cursor_++ % targets.size()]);
    }
}

std::chrono::microseconds seed_joiner::random_delay(const std::chrono::milliseconds max_delay) {
    std::uniform_int_distribution<std::chrono::microseconds::rep> distribution{
        0, std::chrono::microseconds{max_delay}.count()};
    return std::chrono::microseconds{distribution(random_)};
}

} // namespace goldcrestwell
