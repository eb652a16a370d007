#include "core/node/fake_platform.hpp"

#include <iterator>
#include <utility>

namespace goldcrestwell::test {

namespace {

constexpr std::size_t max_records = 64;
constexpr std::chrono::seconds failure_time{1};

} // namespace

fake_platform::fake_platform(virtual_time& time, const std::uint64_t seed, const std::chrono::milliseconds retention)
    : time_{time}, random_{seed}, log_{retention, seed} {
    versions_[log_offset{}] = {};
}

std::chrono::microseconds fake_platform::latency() {
    const auto longest = std::chrono::microseconds{delay_}.count() + 3'000;
    return std::chrono::microseconds{1'000 + static_cast<std::int64_t>(random_() % static_cast<unsigned>(longest))};
}

void fake_platform::append(const log_record& record) {
    // An outage can begin after the record was stored and before the answer is sent.
    if (down_ && random_() % 5 != 0) {
        return;
    }
    time_.after(latency(), [this, record] { store(record); });
    if (answers_lost_ && random_() % 2 == 0) {
        time_.after(latency() + failure_time, [this, record] { store(record); });
    }
}

void fake_platform::store(const log_record& record) {
    const auto stored = log_.append(record, time_.now());
    static_cast<void>(reference_.apply(stored));
    reference_.advance_to(stored.offset);
    versions_.try_emplace(reference_.snapshot()->version(), reference_.snapshot()->rows());
    if (down_) {
        return;
    }
    for (const auto& [number, waiting] : std::map{reads_}) {
        time_.after(latency(), [this, number = number] { serve(number, false); });
    }
}

void fake_platform::read(const log_offset after, const std::chrono::milliseconds wait, const read_answer& answer) {
    const auto number = ++last_read_;
    reads_.emplace(number, waiting_read{.after = after, .answer = answer});
    time_.after(latency(), [this, number] { serve(number, false); });
    time_.after(latency() + wait + failure_time, [this, number] { serve(number, true); });
}

void fake_platform::serve(const std::uint64_t number, const bool final) {
    const auto found = reads_.find(number);
    if (found == reads_.end()) {
        return;
    }
    if (!down_) {
        log_.expire(time_.now());
        const auto batch = log_.read(found->second.after, max_records);
        if (batch.records.empty() && batch.through <= found->second.after && !final) {
            return;
        }
        const auto answered = reads_.extract(found);
        answered.mapped().answer.records(batch);
        return;
    }
    if (!final && random_() % 2 == 0) {
        return; // Half of the reads fail only after their time-out.
    }
    const auto answered = reads_.extract(found);
    answered.mapped().answer.failed();
}

void fake_platform::set_down(const bool down) {
    down_ = down;
    outage_changed_ = time_.now();
    for (const auto& [number, waiting] : std::map{reads_}) {
        serve(number, false);
    }
}

const std::vector<table_row>* fake_platform::rows_at(const log_offset version) const {
    return version <= reference_.position() ? &std::prev(versions_.upper_bound(version))->second : nullptr;
}

} // namespace goldcrestwell::test
