#include "goldcrestwell/core/node/departure_recorder.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

departure_recorder::departure_recorder(departure_recorder_options options)
    : options_{std::move(options)}, retry_delay_{options_.min_retry_delay} {}

void departure_recorder::record(const upstream_departure& departure, acknowledge_hook acknowledge,
                                const steady_time now) {
    if (recorded_ == departure) {
        acknowledge();
        return;
    }
    waiting_.push_back(std::move(acknowledge));
    if (!acknowledge_at_) {
        acknowledge_at_ = now + options_.max_acknowledgement_delay;
    }
    if (pending_ != departure) {
        pending_ = departure;
        write();
    }
}

void departure_recorder::write() {
    write_at_.reset();
    if (!in_flight_) {
        in_flight_ = pending_;
        options_.write(*in_flight_);
    }
}

void departure_recorder::on_written(const bool confirmed, const steady_time now) {
    const auto written = std::exchange(in_flight_, std::nullopt);
    if (!confirmed) {
        write_at_ = now + retry_delay_;
        retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
        return;
    }
    retry_delay_ = options_.min_retry_delay;
    recorded_ = written;
    if (pending_ != written) {
        write();
        return;
    }
    pending_.reset();
    acknowledge_all(*recorded_, true);
}

void departure_recorder::on_timer(const steady_time now) {
    if (acknowledge_at_ && now >= *acknowledge_at_) {
        acknowledge_all(*pending_, false);
    }
    if (write_at_ && now >= *write_at_) {
        write();
    }
}

std::optional<steady_time> departure_recorder::next_timer() const noexcept {
    if (acknowledge_at_ && write_at_) {
        return std::min(*acknowledge_at_, *write_at_);
    }
    return acknowledge_at_ ? acknowledge_at_ : write_at_;
}

void departure_recorder::acknowledge_all(const upstream_departure& departure, const bool recorded) {
    acknowledge_at_.reset();
    const auto acknowledgements = std::exchange(waiting_, {});
    if (acknowledgements.empty()) {
        return;
    }
    options_.acknowledged(departure, recorded);
    for (const auto& acknowledge : acknowledgements) {
        acknowledge();
    }
}

} // namespace goldcrestwell
