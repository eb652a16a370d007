#include "goldcrestwell/core/config/log_scan.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace goldcrestwell::internal {

namespace {

// Returns the offset above which the log still holds all records.
log_offset last_expired_offset(const record_batch& batch) noexcept {
    return batch.first_retained ? log_offset{batch.first_retained.value() - 1} : log_offset{};
}

} // namespace

std::vector<checkpoint_part> log_scan::on_batch(const record_batch& batch) {
    const auto last_expired = last_expired_offset(batch);
    if (!cursor_ || *cursor_ < last_expired) {
        collector_.clear();
        cursor_ = last_expired;
    }
    if (std::max(batch.after, last_expired) > *cursor_) {
        return {};
    }
    std::vector<checkpoint_part> newest;
    for (const auto& record : batch.records) {
        const auto* part = std::get_if<checkpoint_part>(&record.record);
        if (part == nullptr || part->covered_offset < last_expired || part->covered_offset >= record.offset) {
            continue;
        }
        auto complete = collector_.add(*part);
        if (!complete.empty() && (newest.empty() || newest.front().covered_offset < complete.front().covered_offset)) {
            newest = std::move(complete);
        }
    }
    cursor_ = std::max(*cursor_, batch.through);
    return newest;
}

void log_scan::stop() noexcept {
    cursor_.reset();
    collector_.clear();
}

bool has_gap_after(const record_batch& batch, const log_offset position) noexcept {
    return batch.first_retained.value() > position.value() + 1;
}

} // namespace goldcrestwell::internal
