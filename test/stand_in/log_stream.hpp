#ifndef GOLDCRESTWELL_TEST_STAND_IN_LOG_STREAM_HPP
#define GOLDCRESTWELL_TEST_STAND_IN_LOG_STREAM_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace goldcrestwell::test {

/** @brief One stream of the platform's log, in memory, with limited retention. */
class log_stream {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /** @return The offset of the new record. */
    std::uint64_t append(std::string record, time_point now);
    /** @brief Removes records that are too old or too many; zero means no limit. */
    void expire(std::chrono::seconds retention, std::size_t retain, time_point now);
    /** @return The msgpack answer to a read. */
    [[nodiscard]] std::string read(std::uint64_t after, std::size_t limit) const;
    /** @return Offset of the last record. */
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
