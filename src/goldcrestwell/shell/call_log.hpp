#ifndef GOLDCRESTWELL_SHELL_CALL_LOG_HPP
#define GOLDCRESTWELL_SHELL_CALL_LOG_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/attempt_event.hpp"
#include "goldcrestwell/core/message/call_event.hpp"

namespace goldcrestwell {

/** @brief Logs an event of a call. */
void write_call_log(const call_event& event, steady_time now);

/** @brief Logs an attempt that has ended at the local upstream. */
void write_attempt_log(const attempt_event& event);

} // namespace goldcrestwell

#endif
