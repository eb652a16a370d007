#include "goldcrestwell/core/rollout/status_recorder.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

status_recorder::status_recorder(status_recorder_options options) : options_{std::move(options)} {}

void status_recorder::record(const rollout_status& status) {
    pending_.insert_or_assign(status.service, status);
    read();
}

void status_recorder::refresh() {
    read();
}

void status_recorder::read() {
    if (!in_flight_ && !std::exchange(read_in_progress_, true)) {
        options_.read();
    }
}

void status_recorder::on_read(const std::optional<std::vector<rollout_status>>& statuses, const log_offset end) {
    read_in_progress_ = false;
    if (std::exchange(call_outdated_, false)) {
        read();
        return;
    }
    if (!statuses || era_of(end) < era_) {
        pending_.clear();
        return;
    }
    era_ = era_of(end);
    for (const auto& status : *statuses) {
        const auto pending = pending_.find(status.service);
        const auto same_rollout = pending != pending_.end() && pending->second.target == status.target;
        if (same_rollout && (status.phase != rollout_phase::running || pending->second == status)) {
            pending_.erase(pending);
        }
        options_.recorded(status);
    }
    write_next(end);
}

void status_recorder::write_next(const log_offset end) {
    if (pending_.empty()) {
        return;
    }
    in_flight_ = pending_.extract(pending_.begin()).mapped();
    options_.write(*in_flight_, end);
}

void status_recorder::on_written(const bool confirmed) {
    const auto written = std::exchange(in_flight_, std::nullopt);
    if (std::exchange(call_outdated_, false)) {
        if (written) {
            pending_.emplace(written->service, *written);
        }
    } else if (confirmed && written) {
        options_.recorded(*written);
    }
    if (!pending_.empty()) {
        read();
    }
}

void status_recorder::on_history_replaced() {
    call_outdated_ = read_in_progress_ || in_flight_.has_value();
}

} // namespace goldcrestwell
