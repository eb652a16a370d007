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
    const auto max_latency = std::chrono::microseconds{delay_}.count() + 3'000;
    return std::chrono::microseconds{1'000 + static_cast<std::int64_t>(random_() % static_cast<unsigned>(max_latency))};
}

void fake_platform::append(const log_record& record) {
    // An outage can begin after the record was stored and before the response is sent.
    if (down_ && random_() % 5 != 0) {
        return;
    }
    time_.after(latency(), [this, record] { store(record); });
    if (responses_lost_ && random_() % 2 == 0) {
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
    for (const auto& [number, pending] : std::map{reads_}) {
        time_.after(latency(), [this, number = number] { complete_read(number, false); });
    }
}

void fake_platform::read(const log_offset after, const std::chrono::milliseconds wait,
                         const read_callbacks& callbacks) {
    const auto number = ++last_read_;
    reads_.emplace(number, pending_read{.after = after, .callbacks = callbacks});
    time_.after(latency(), [this, number] { complete_read(number, false); });
    time_.after(latency() + wait + failure_time, [this, number] { complete_read(number, true); });
}

void fake_platform::complete_read(const std::uint64_t number, const bool final) {
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
        const auto completed = reads_.extract(found);
        completed.mapped().callbacks.records(batch);
        return;
    }
    if (!final && random_() % 2 == 0) {
        return; // Half of the reads fail only after their timeout.
    }
    const auto completed = reads_.extract(found);
    completed.mapped().callbacks.failed();
}

void fake_platform::set_down(const bool down) {
    down_ = down;
    outage_changed_ = time_.now();
    for (const auto& [number, pending] : std::map{reads_}) {
        complete_read(number, false);
    }
}

const std::vector<table_row>* fake_platform::rows_at(const log_offset version) const {
    return version <= reference_.position() ? &std::prev(versions_.upper_bound(version))->second : nullptr;
}

} // namespace goldcrestwell::test
