#ifndef GOLDCRESTWELL_SHELL_CALL_LOG_HPP
#define GOLDCRESTWELL_SHELL_CALL_LOG_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/token_bucket.hpp"
#include "goldcrestwell/core/message/attempt_event.hpp"
#include "goldcrestwell/core/message/call_event.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief Log lines of calls; plain successes have a line as long as there are few of them. */
class call_log {
public:
    /** @brief Interval and burst of the lines of plain successes; the log drops lines above 60 a second. */
    static constexpr std::chrono::milliseconds plain_line_interval{50};
    static constexpr int plain_line_burst = 10;

    /**
     * @brief Logs an event of a call.
     * @return False if the line of a plain success was left out because of the limit.
     */
    bool write(const call_event& event, steady_time now);

private:
    internal::token_bucket plain_lines_{plain_line_interval, plain_line_burst};
    /** @brief Number of lines of plain successes left out since the last line of a call. */
    std::uint64_t omitted_{};
};

/** @brief Logs an attempt that has ended at the local upstream. */
void write_attempt_log(const attempt_event& event);

} // namespace goldcrestwell

#endif
