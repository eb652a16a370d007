#include "goldcrestwell/shell/call_log.hpp"

#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/structured_log.hpp"

#include <array>
#include <string_view>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, 4> step_names{"call_sent", "call_answered", "call_refused", "call_cancelled"};
constexpr std::array<std::string_view, 3> run_state_names{"not_run", "ran", "unknown"};

// Refusals, retries and late responses are needed to investigate complaints, so they have a higher level than plain
// successes.
log_level level_of(const call_event& event, const std::chrono::microseconds elapsed) {
    const auto late = event.objective > std::chrono::milliseconds{} && elapsed > event.objective;
    const auto plain = event.reason == refusal_reason::none && event.attempts <= 1 && !late;
    return plain ? log_level::debug : log_level::info;
}

} // namespace

void write_call_log(const call_event& event, const steady_time now) {
    const auto elapsed = now - event.started;
    const auto level = level_of(event, elapsed);
    if (!log_enabled(level)) {
        return;
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
               {"elapsed_ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()}});
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
