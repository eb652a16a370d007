#include "goldcrestwell/core/membership/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

/** Limits bursts; a node receives about three ping requests per second when a tenth of all members fail. */
constexpr std::size_t max_relays = 64;

} // namespace

failure_detector::failure_detector(failure_detector_options options)
    : options_{std::move(options)}, random_{options_.seed}, sequence_{static_cast<std::uint32_t>(random_())} {}

void failure_detector::start(const steady_time now) {
    std::uniform_int_distribution<std::chrono::microseconds::rep> delay{
        0, std::chrono::microseconds{options_.timing.probe_interval}.count()};
    next_probe_ = now + std::chrono::microseconds{delay(random_)};
}

void failure_detector::resume(const steady_time now) {
    probe_.reset();
    relays_.clear();
    start(now);
}

void failure_detector::on_ack(const node_id target, const std::uint32_t sequence, const steady_time now) {
    expire_relays(now);
    if (probe_ && probe_->target == target && probe_->sequence == sequence) {
        probe_.reset();
        return;
    }
    const auto found = relays_.find(sequence);
    if (found == relays_.end() || found->second.target != target) {
        return;
    }
    const auto relayed = found->second;
    relays_.erase(found);
    options_.forward_ack(relayed.requester, relayed.sequence, relayed.target);
}

void failure_detector::on_ping_request(const node_id requester, const node_id target, const std::uint32_t sequence,
                                       const steady_time now) {
    expire_relays(now);
    if (relays_.size() >= max_relays) {
        return;
    }
    const auto relay_sequence = ++sequence_;
    if (options_.send_ping(target, relay_sequence)) {
        relays_[relay_sequence] = {.requester = requester,
                                   .sequence = sequence,
                                   .target = target,
                                   .expiry = now + options_.timing.probe_interval};
    }
}

void failure_detector::on_timer(const steady_time now) {
    if (!next_probe_) {
        return;
    }
    if (probe_ && !probe_->indirect_requested && now >= probe_->sent + options_.timing.ack_timeout) {
        probe_->indirect_requested = true;
        options_.send_ping_requests(probe_->target, probe_->sequence);
    }
    if (now < *next_probe_) {
        return;
    }
    if (probe_) {
        const auto target = probe_->target;
        probe_.reset();
        options_.probe_failed(target);
    }
    start_probe(now);
}

void failure_detector::start_probe(const steady_time now) {
    expire_relays(now);
    next_probe_ = now + options_.timing.probe_interval;
    const auto target = options_.next_target();
    if (!target) {
        return;
    }
    const auto sequence = ++sequence_;
    if (options_.send_ping(*target, sequence)) {
        probe_ = {.target = *target, .sequence = sequence, .sent = now, .indirect_requested = false};
    }
}

void failure_detector::expire_relays(const steady_time now) {
    std::erase_if(relays_, [now](const auto& item) { return item.second.expiry <= now; });
}

std::optional<steady_time> failure_detector::next_timer() const {
    if (probe_ && !probe_->indirect_requested) {
        return std::min(*next_probe_, probe_->sent + options_.timing.ack_timeout);
    }
    return next_probe_;
}

} // namespace goldcrestwell
