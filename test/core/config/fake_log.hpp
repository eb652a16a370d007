#ifndef GOLDCRESTWELL_TEST_CORE_CONFIG_FAKE_LOG_HPP
#define GOLDCRESTWELL_TEST_CORE_CONFIG_FAKE_LOG_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/record_batch.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <utility>

namespace goldcrestwell::test {

/** @brief In-memory append-only log with gaps between offsets and limited retention. */
class fake_log {
public:
    fake_log(const std::chrono::milliseconds retention, const std::uint64_t seed)
        : retention_{retention}, random_{seed} {}

    sequenced_record append(log_record record, const steady_time now) {
        head_ = log_offset{head_.value() + 1 + random_() % 3};
        items_.push_back({.appended_at = now, .record = {.offset = head_, .record = std::move(record)}});
        return items_.back().record;
    }

    void expire(const steady_time now) {
        while (!items_.empty() && items_.front().appended_at + retention_ < now) {
            first_retained_ = log_offset{items_.front().record.offset.value() + 1};
            items_.pop_front();
        }
    }

    [[nodiscard]] record_batch read(const log_offset after, const std::size_t max_records) const {
        record_batch batch{
            .after = after, .records = {}, .through = head_, .head = head_, .first_retained = first_retained_};
        for (const auto& item : items_) {
            if (item.record.offset <= after) {
                continue;
            }
            if (batch.records.size() == max_records) {
                batch.through = batch.records.back().offset;
                break;
            }
            batch.records.push_back(item.record);
        }
        return batch;
    }

    [[nodiscard]] log_offset head() const noexcept { return head_; }

private:
    struct stored_record {
        steady_time appended_at;
        sequenced_record record;
    };

    std::chrono::milliseconds retention_;
    std::mt19937_64 random_;
    std::deque<stored_record> items_;
    log_offset head_;
    log_offset first_retained_{1};
};

} // namespace goldcrestwell::test

#endif
