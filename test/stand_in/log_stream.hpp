#ifndef GOLDCRESTWELL_TEST_STAND_IN_LOG_STREAM_HPP
#define GOLDCRESTWELL_TEST_STAND_IN_LOG_STREAM_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace goldcrestwell::test {

/** @brief In-memory stream of the simulated platform log, with limited retention. */
class log_stream {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /** @brief Appends a record and returns its offset. */
    std::uint64_t append(std::string record, time_point now);
    /** @brief Removes the oldest records beyond the retention time or the number to retain; zero means no limit. */
    void expire(std::chrono::seconds retention, std::size_t retain, time_point now);
    /** @brief Returns the msgpack response to a read of the records after an offset. */
    [[nodiscard]] std::string read(std::uint64_t after, std::size_t limit) const;
    /** @brief Returns the offset of the last record. */
    [[nodiscard]] std::uint64_t head() const noexcept { return first_ + records_.size() - 1; }

private:
    struct stored_record {
        std::string bytes;
        time_point at;
    };

    std::deque<stored_record> records_;
    std::uint64_t first_{1};
};

} // namespace goldcrestwell::test

#endif
