#include "goldcrestwell/shell/call_log.hpp"

#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/structured_log.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, 4> step_names{"call_sent", "call_answered", "call_refused", "call_cancelled"};
constexpr std::array<std::string_view, 3> run_state_names{"not_run", "ran", "unknown"};

bool is_plain(const call_event& event, const std::chrono::microseconds elapsed) {
    const auto late = event.objective > std::chrono::milliseconds{} && elapsed > event.objective;
    return event.reason == refusal_reason::none && event.attempts <= 1 && !late;
}

} // namespace

// Refusals, retries and late responses are needed to investigate complaints, so each has a line. Plain successes show
// which configuration decided a call; at a high rate they would displace the other lines.
bool call_log::write(const call_event& event, const steady_time now) {
    if (!log_enabled(log_level::info)) {
        return true;
    }
    const auto elapsed = now - event.started;
    auto level = log_level::info;
    if (is_plain(event, elapsed)) {
        const auto is_success = event.step == call_step::answered;
        level = is_success && plain_lines_.take(now) ? log_level::info : log_level::debug;
        if (!log_enabled(level)) {
            omitted_ += is_success ? 1 : 0;
            return !is_success;
        }
    }
    write_log(level, step_names[static_cast<std::size_t>(event.step)],
              {{"request", event.request_id},
               {"route", event.route.value},
               {"service", event.service.value},
               {"upstream_version", event.version.value},
               {"config_version", event.config_version},
               {"node", to_string(event.target)},
               {"try", event.attempts},
               {"reason", to_string(event.reason)},
               {"run", run_state_names[static_cast<std::size_t>(event.run)]},
               {"objective_ms", event.objective.count()},
               {"elapsed_ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()},
               {"omitted", std::exchange(omitted_, 0)}});
    return true;
}

void write_attempt_log(const attempt_event& event) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto late = event.objective > milliseconds{} && event.queued + event.at_upstream > event.objective;
    const auto level = event.reason == refusal_reason::none && !late ? log_level::debug : log_level::info;
    if (!log_enabled(level)) {
        return;
    }
    write_log(level, event.reason == refusal_reason::none ? "attempt_answered" : "attempt_failed",
              {{"request", event.request_id},
               {"route", event.route.value},
               {"upstream_version", event.version.value},
               {"config_version", event.config_version},
               {"origin", to_string(event.origin)},
               {"reason", to_string(event.reason)},
               {"depth", event.depth},
               {"queued_ms", duration_cast<milliseconds>(event.queued).count()},
               {"upstream_ms", duration_cast<milliseconds>(event.at_upstream).count()},
               {"objective_ms", event.objective.count()},
               {"busy", event.busy_slots},
               {"waiting", event.waiting}});
}

} // namespace goldcrestwell
