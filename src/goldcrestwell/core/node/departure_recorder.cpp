#include "goldcrestwell/core/node/departure_recorder.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

departure_recorder::departure_recorder(departure_recorder_options options)
    : options_{std::move(options)}, retry_delay_{options_.min_retry_delay} {}

void departure_recorder::record(const std::vector<upstream_departure>& departures, answer_hook answer,
                                const steady_time now) {
    known_ = departures;
    if (recorded_ == departures) {
        answer(true);
        return;
    }
    waiting_.push_back(
        {.answer = std::move(answer), .departure = departures.back(), .due = now + options_.max_answer_delay});
    if (pending_ != departures) {
        pending_ = departures;
        write();
    }
}

void departure_recorder::start(const std::vector<upstream_departure>& departures) {
    started_ = true;
    known_ = departures;
    if (!pending_.empty()) {
        pending_ = departures;
        write();
    }
}

void departure_recorder::on_history_replaced() {
    in_flight_outdated_ = in_flight_.has_value();
    recorded_.clear();
    pending_ = known_;
    if (!pending_.empty()) {
        write();
    }
}

void departure_recorder::write() {
    if (started_ && !in_flight_) {
        write_at_.reset();
        in_flight_ = pending_;
        options_.write(*in_flight_);
    }
}

void departure_recorder::on_written(const bool confirmed, const steady_time now) {
    auto written = *std::exchange(in_flight_, std::nullopt);
    if (std::exchange(in_flight_outdated_, false)) {
        // The store may have applied the write before it returned from the copy.
        write();
        return;
    }
    if (!confirmed) {
        write_at_ = now + retry_delay_;
        retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
        return;
    }
    retry_delay_ = options_.min_retry_delay;
    recorded_ = std::move(written);
    if (pending_ != recorded_) {
        write();
        return;
    }
    pending_.clear();
    answer_all();
}

void departure_recorder::on_timer(const steady_time now) {
    while (!waiting_.empty() && now >= waiting_.front().due) {
        const auto late = std::move(waiting_.front());
        waiting_.erase(waiting_.begin());
        options_.answered(late.departure, false);
        late.answer(false);
    }
    if (write_at_ && now >= *write_at_) {
        write();
    }
}

std::optional<steady_time> departure_recorder::next_timer() const noexcept {
    if (waiting_.empty()) {
        return write_at_;
    }
    return write_at_ ? std::min(*write_at_, waiting_.front().due) : waiting_.front().due;
}

void departure_recorder::answer_all() {
    const auto answers = std::exchange(waiting_, {});
    for (const auto& waiting : answers) {
        options_.answered(waiting.departure, true);
        waiting.answer(true);
    }
}

} // namespace goldcrestwell
