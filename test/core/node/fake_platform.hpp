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

/** @brief Answers of one read; exactly one of them is called. */
struct read_answer {
    std::function<void(const record_batch& batch)> records;
    std::function<void()> failed;
};

/** @brief The platform's log service with faults, and the table that its records must lead to. */
class fake_platform {
public:
    fake_platform(virtual_time& time, std::uint64_t seed, std::chrono::milliseconds retention);

    void append(const log_record& record);
    void read(log_offset after, std::chrono::milliseconds wait, const read_answer& answer);

    void set_down(bool down);
    /** @brief Longest extra time of an append or a read; appends overtake one another. */
    void set_delay(const std::chrono::milliseconds delay) { delay_ = delay; }
    /** @brief Appends take effect, but the client hears nothing and may send the record again. */
    void set_answers_lost(const bool lost) { answers_lost_ = lost; }

    [[nodiscard]] bool down() const noexcept { return down_; }
    /** @return Time at which the last outage began or ended. */
    [[nodiscard]] steady_time outage_changed() const noexcept { return outage_changed_; }
    [[nodiscard]] const table_reducer& reference() const noexcept { return reference_; }
    /** @return Rows that the log led to at an offset, or null if it has not come that far. */
    [[nodiscard]] const std::vector<table_row>* rows_at(log_offset version) const;

private:
    struct waiting_read {
        log_offset after;
        read_answer answer;
    };

    void store(const log_record& record);
    void serve(std::uint64_t number, bool final);
    [[nodiscard]] std::chrono::microseconds latency();

    virtual_time& time_;
    std::mt19937_64 random_;
    fake_log log_;
    table_reducer reference_{{}};
    std::map<log_offset, std::vector<table_row>> versions_;
    std::map<std::uint64_t, waiting_read> reads_;
    std::uint64_t last_read_{};
    std::chrono::milliseconds delay_{};
    bool down_{};
    bool answers_lost_{};
    steady_time outage_changed_{};
};

} // namespace goldcrestwell::test

#endif
