#ifndef GOLDCRESTWELL_TEST_CORE_NODE_FAKE_PLATFORM_HPP
#define GOLDCRESTWELL_TEST_CORE_NODE_FAKE_PLATFORM_HPP

#include "core/config/fake_log.hpp"
#include "core/node/virtual_time.hpp"
#include "goldcrestwell/core/config/table_reducer.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell::test {

/** @brief Callbacks of a read; exactly one of them is called. */
struct read_callbacks {
    std::function<void(const record_batch& batch)> records;
    std::function<void()> failed;
};

/** @brief Simulated log service with faults, and a reference table that results from its records. */
class fake_platform {
public:
    fake_platform(virtual_time& time, std::uint64_t seed, std::chrono::milliseconds retention);

    void append(const log_record& record);
    void read(log_offset after, std::chrono::milliseconds wait, const read_callbacks& callbacks);

    void set_down(bool down);
    /** @brief Sets the maximum additional delay of appends and reads; delayed appends may be reordered. */
    void set_delay(const std::chrono::milliseconds delay) { delay_ = delay; }
    /** @brief Loses the responses to appends; the record is stored, and the client may append it again. */
    void set_responses_lost(const bool lost) { responses_lost_ = lost; }

    [[nodiscard]] bool down() const noexcept { return down_; }
    /** @return Time of the last start or end of an outage. */
    [[nodiscard]] steady_time outage_changed() const noexcept { return outage_changed_; }
    [[nodiscard]] const table_reducer& reference() const noexcept { return reference_; }
    /** @return Rows of the reference table at an offset; null if the log has not reached the offset. */
    [[nodiscard]] const std::vector<table_row>* rows_at(log_offset version) const;

private:
    struct pending_read {
        log_offset after;
        read_callbacks callbacks;
    };

    void store(const log_record& record);
    void complete_read(std::uint64_t number, bool final);
    [[nodiscard]] std::chrono::microseconds latency();

    virtual_time& time_;
    std::mt19937_64 random_;
    fake_log log_;
    table_reducer reference_{{}};
    std::map<log_offset, std::vector<table_row>> versions_;
    std::map<std::uint64_t, pending_read> reads_;
    std::uint64_t last_read_{};
    std::chrono::milliseconds delay_{};
    bool down_{};
    bool responses_lost_{};
    steady_time outage_changed_{};
};

} // namespace goldcrestwell::test

#endif
