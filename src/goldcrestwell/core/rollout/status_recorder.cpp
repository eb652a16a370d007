#include "goldcrestwell/core/rollout/status_recorder.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

status_recorder::status_recorder(status_recorder_options options) : options_{std::move(options)} {}

void status_recorder::record(const rollout_status& status) {
    wanted_.insert_or_assign(status.service, status);
    read();
}

void status_recorder::refresh() {
    read();
}

void status_recorder::read() {
    if (!writing_ && !std::exchange(reading_, true)) {
        options_.read();
    }
}

void status_recorder::on_read(const std::optional<std::vector<rollout_status>>& statuses, const log_offset end) {
    reading_ = false;
    if (!statuses) {
        wanted_.clear();
        return;
    }
    for (const auto& status : *statuses) {
        const auto wanted = wanted_.find(status.service);
        const auto same_rollout = wanted != wanted_.end() && wanted->second.target == status.target;
        if (same_rollout && (status.phase != rollout_phase::running || wanted->second == status)) {
            wanted_.erase(wanted);
        }
        options_.recorded(status);
    }
    write_next(end);
}

void status_recorder::write_next(const log_offset end) {
    if (wanted_.empty()) {
        return;
    }
    writing_ = wanted_.extract(wanted_.begin()).mapped();
    options_.write(*writing_, end);
}

void status_recorder::on_written(const bool confirmed) {
    const auto written = std::exchange(writing_, std::nullopt);
    if (confirmed && written) {
        options_.recorded(*written);
    }
    if (!wanted_.empty()) {
        read();
    }
}

} // namespace goldcrestwell
