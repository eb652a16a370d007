#include "goldcrestwell/core/config/record_window.hpp"

#include "goldcrestwell/core/config/record_size.hpp"

#include <algorithm>

namespace goldcrestwell::internal {

void record_window::add(const sequenced_record& record) {
    items_.push_back({.record = record, .bytes = estimated_size(record.record)});
    bytes_ += items_.back().bytes;
    while (items_.size() > max_records_ || bytes_ > max_bytes_) {
        bytes_ -= items_.front().bytes;
        complete_after_ = items_.front().record.offset;
        items_.pop_front();
    }
}

void record_window::reset(const log_offset after) {
    items_.clear();
    bytes_ = 0;
    complete_after_ = after;
}

record_batch record_window::batch(const log_offset after, const log_offset position,
                                  const std::size_t max_bytes) const {
    record_batch batch{.after = after, .records = {}, .through = position, .head = {}, .first_retained = {}};
    auto next =
        std::upper_bound(items_.begin(), items_.end(), after,
                         [](const log_offset value, const sized_record& other) { return value < other.record.offset; });
    std::size_t bytes = 0;
    for (; next != items_.end(); ++next) {
        bytes += next->bytes;
        if (bytes > max_bytes && !batch.records.empty()) {
            batch.through = batch.records.back().offset;
            break;
        }
        batch.records.push_back(next->record);
    }
    return batch;
}

} // namespace goldcrestwell::internal
