#include "goldcrestwell/core/config/log_scan.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace goldcrestwell::internal {

namespace {

// All records above the floor are in the log.
log_offset floor_of(const record_batch& batch) noexcept {
    return batch.first_retained ? log_offset{batch.first_retained.value() - 1} : log_offset{};
}

} // namespace

std::vector<checkpoint_part> log_scan::on_batch(const record_batch& batch) {
    const auto floor = floor_of(batch);
    if (!cursor_ || *cursor_ < floor) {
        collector_.clear();
        cursor_ = floor;
    }
    if (std::max(batch.after, floor) > *cursor_) {
        return {};
    }
    std::vector<checkpoint_part> newest;
    for (const auto& record : batch.records) {
        const auto* part = std::get_if<checkpoint_part>(&record.record);
        if (part == nullptr || part->covers < floor || part->covers >= record.offset) {
            continue;
        }
        auto whole = collector_.add(*part);
        if (!whole.empty() && (newest.empty() || newest.front().covers < whole.front().covers)) {
            newest = std::move(whole);
        }
    }
    cursor_ = std::max(*cursor_, batch.through);
    return newest;
}

void log_scan::stop() noexcept {
    cursor_.reset();
    collector_.clear();
}

bool passed_by_retention(const record_batch& batch, const log_offset position) noexcept {
    return batch.first_retained.value() > position.value() + 1;
}

} // namespace goldcrestwell::internal
