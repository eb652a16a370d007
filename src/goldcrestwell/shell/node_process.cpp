#include "goldcrestwell/shell/node_process.hpp"

#include "goldcrestwell/codec/datagram_codec.hpp"
#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/shell/member_status_name.hpp"
#include "goldcrestwell/shell/position_view.hpp"
#include "goldcrestwell/shell/structured_log.hpp"

#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::chrono::milliseconds drain_check_interval{100};
/** @brief Time for sending the last frames and datagrams before the loop stops. */
constexpr std::chrono::milliseconds final_send_period{200};

refusal_reason refusal_reason_of(const http_parser_fault fault) {
    switch (fault) {
    case http_parser_fault::out_of_memory:
        return refusal_reason::out_of_memory;
    case http_parser_fault::body_too_large:
    case http_parser_fault::headers_too_large:
        return refusal_reason::request_too_large;
    default:
        return refusal_reason::bad_request;
    }
}

template <typename Options, typename Change>
Options with_changes(Options options, Change change) {
    change(options);
    return options;
}

} // namespace

node_process::node_process(event_loop& loop, node_process_options options)
    : loop_{loop}, options_{std::move(options)}, core_timer_{loop,
                                                             [this](const time_sample now) {
                                                                 core_.on_timer(now);
                                                             }},
      drain_timer_{loop,
                   [this](time_sample) {
                       check_drain();
                   }},
      gossip_{loop,
              {.self = options_.core.self,
               .on_datagram = [this](const datagram& message) { core_.on_datagram(message, loop_.now()); },
               .on_drop =
                   [this](const drop_reason reason) {
                       core_.counts().drops.add(reason);
                   }}},
      peers_{loop, make_peer_options()}, log_{loop, with_changes(options_.log,
                                                                 [this](log_client_options& log) {
                                                                     log.memory = options_.memory;
                                                                     log.on_batch = [this](const record_batch& batch) {
                                                                         core_.on_log_batch(batch, loop_.now());
                                                                     };
                                                                     log.on_read_failed = [this] {
                                                                         core_.on_log_failure(loop_.now());
                                                                     };
                                                                     log.on_appended = [](const bool confirmed) {
                                                                         if (!confirmed) {
                                                                             write_log(log_level::warning,
                                                                                       "append_unconfirmed");
                                                                         }
                                                                     };
                                                                 })},
      upstream_{loop, with_changes(options_.upstream,
                                   [this](upstream_client_options& upstream) {
                                       upstream.memory = options_.memory;
                                       upstream.on_result = [this](const attempt_id& id,
                                                                   const upstream_result& result) {
                                           core_.on_upstream_result(id, result, loop_.now());
                                       };
                                   })},
      core_{with_hooks(options_.core)}, callers_{loop, core_, make_caller_options()},
      admin_{loop, core_, upstream_,
             with_changes(options_.admin, [this](http_server_options& admin) { admin.memory = options_.memory; })} {
    if (options_.memory) {
        options_.memory->on_shortage(
            [this](const memory_use use) { return callers_.reclaim(use) || peers_.reclaim(); });
    }
}

node_process::~node_process() {
    if (options_.memory) {
        options_.memory->on_shortage({});
    }
}

peer_transport_options node_process::make_peer_options() {
    return {
        .self = options_.core.self,
        .start_incarnation = options_.core.start_incarnation,
        .max_connections = options_.max_peer_connections,
        .memory = options_.memory,
        .on_message = [this](const node_id from,
                             const peer_message& message) { core_.on_peer_message(from, message, loop_.now()); },
        .on_oversized = [this](const node_id from,
                               const peer_message& message) { core_.on_oversized_message(from, message, loop_.now()); },
        .on_lost = [this](const node_id peer) { core_.on_peer_lost(peer, loop_.now()); },
        .on_not_sent = [this](const attempt_id& id) { core_.on_attempt_not_sent(id, loop_.now()); },
        .on_drop =
            [this](const drop_reason reason) {
                core_.counts().drops.add(reason);
            }};
}

caller_listener_options node_process::make_caller_options() {
    auto options = options_.callers;
    options.server.memory = options_.memory;
    options.server.on_refused = [this](const http_parser_fault fault) {
        report(fault);
    };
    return options;
}

bool node_process::start() {
    if (!peers_.start()) {
        failure_ = start_failure::peer_listener;
    } else if (!gossip_.start()) {
        failure_ = start_failure::gossip_socket;
    } else if (!callers_.start()) {
        failure_ = start_failure::caller_listener;
    } else if (!admin_.start()) {
        failure_ = start_failure::admin_listener;
    } else {
        core_.start(loop_.now());
    }
    return failure_ == start_failure::none;
}

void node_process::drain() {
    if (std::exchange(draining_, true)) {
        finish_drain(core_.in_progress());
        return;
    }
    const auto now = loop_.now();
    write_log(log_level::info, "drain_started", {{"in_progress", core_.in_progress()}});
    drain_deadline_ = now.steady + options_.drain_limit;
    if (options_.caller_close_delay > std::chrono::milliseconds{}) {
        caller_close_at_ = now.steady + options_.caller_close_delay;
    }
    core_.on_drain(now);
    check_drain();
}

void node_process::check_drain() {
    if (drain_finished_) {
        loop_.stop();
        return;
    }
    const auto now = loop_.now();
    if (caller_close_at_ && now.steady >= *caller_close_at_) {
        caller_close_at_.reset();
        callers_.close_connections();
    }
    if (core_.drained(now) && callers_.in_progress() == 0) {
        finish_drain(0);
        return;
    }
    if (now.steady >= drain_deadline_) {
        finish_drain(core_.in_progress());
        return;
    }
    drain_timer_.schedule_after(drain_check_interval);
}

void node_process::finish_drain(const std::size_t aborted_calls) {
    if (std::exchange(drain_finished_, true)) {
        return;
    }
    aborted_calls_ = aborted_calls;
    drain_timer_.cancel();
    write_log(log_level::info, "drain_finished", {{"cut_calls", aborted_calls}});
    if (aborted_calls == 0) {
        core_.leave_cluster(loop_.now());
    }
    // The loop keeps running for a moment so that the last datagrams and responses are sent.
    drain_timer_.schedule_after(final_send_period);
}

node_options node_process::with_hooks(node_options options) {
    auto& hooks = options.hooks;
    hooks.send_frame = [this](const node_id to, const peer_message& message) {
        peers_.send(to, message);
    };
    hooks.send_datagram = [this](const node_id to, const datagram& message) {
        gossip_.send(to, message);
    };
    hooks.datagram_size = [](const datagram& message) {
        return encode(message).size();
    };
    hooks.frame_size = [](const peer_message& message) {
        return encode(message).size();
    };
    hooks.replace_connection = [this](const node_id peer) {
        peers_.replace(peer);
    };
    hooks.start_upstream = [this](const attempt_id& id, const call_request& call,
                                  const std::chrono::milliseconds timeout) {
        upstream_.start(id, call, timeout);
    };
    hooks.abort_upstream = [this](const attempt_id& id) {
        upstream_.abort(id);
    };
    hooks.read_log = [this](const log_offset after, const std::chrono::milliseconds wait) {
        log_.read(after, wait);
    };
    hooks.append_record = [this](const log_record& record) {
        log_.append(record);
    };
    hooks.config_changed = [this](const routing_config& config) {
        callers_.set_limits(config.limits);
    };
    hooks.schedule_wake_up = [this](const steady_time when) {
        core_timer_.schedule_at(when);
    };
    hooks.event = [this](const node_event& event) {
        report(event);
    };
    hooks.invariant_violated = [](const invariant_id id) {
        write_log(log_level::error, "invariant_violated", {{"invariant", to_string(id)}});
    };
    return options;
}

void node_process::report(const http_parser_fault fault) {
    const auto reason = refusal_reason_of(fault);
    core_.counts().refusals.add(reason);
    write_log(log_level::info, "request_refused",
              {{"reason", to_string(reason)}, {"memory_in_use", options_.memory ? options_.memory->used() : 0}});
}

void node_process::append_position(std::vector<log_field>& fields, const std::string_view name,
                                   const log_offset position) const {
    const auto view = position_view::of(position, core_.operators() != nullptr);
    fields.emplace_back(name, view.number);
    if (view.era) {
        fields.emplace_back("era", view.era->value());
    }
}

void node_process::report(const node_event& event) {
    std::visit([this](const auto& alternative) { report(alternative); }, event);
}

void node_process::report(const table_changed& event) {
    write_log(log_level::info, "table_changed", {{"version", event.version.value()}, {"rows", event.rows}});
}

void node_process::report(const became_ready& event) {
    std::vector<log_field> fields;
    append_position(fields, "position", event.position);
    write_log(log_level::info, "ready", fields);
}

void node_process::report(const edit_verdict& event) {
    write_log(log_level::info, "edit_decided",
              {{"id", to_string(event.id)}, {"offset", event.offset.value()}, {"verdict", to_string(event.reason)}});
}

void node_process::report(const member& event) {
    write_log(
        log_level::debug, "member_changed",
        {{"node", to_string(event.id)}, {"status", name_of(event.status)}, {"incarnation", event.incarnation.value()}});
}

void node_process::report(const rollout_update& event) {
    std::vector<log_field> fields{{"route", event.key.row.route.value},
                                  {"upstream_version", event.key.row.version.value}};
    append_position(fields, "row_version", event.key.row_version);
    fields.emplace_back("stage", static_cast<unsigned>(event.state.stage));
    fields.emplace_back("done", static_cast<unsigned>(event.state.done));
    fields.emplace_back("taken_back", static_cast<unsigned>(event.state.rolled_back));
    fields.emplace_back("reason", to_string(event.state.reason));
    fields.emplace_back("rechecks", static_cast<unsigned>(event.state.rechecks));
    write_log(log_level::info, "move_changed", fields);
}

void node_process::report(const call_event& event) {
    if (!call_log_.write(event, loop_.now().steady)) {
        ++core_.counts().omitted_call_lines;
    }
}

void node_process::report(const attempt_event& event) {
    write_attempt_log(event);
}

void node_process::report(const config_applied& event) {
    std::vector<log_field> fields{{"version", event.version}, {"routes", event.routes}};
    append_position(fields, "position", event.position);
    fields.emplace_back("source", event.peer ? to_string(*event.peer) : "store");
    if (event.delay) {
        fields.emplace_back("delay_ms", event.delay->count());
    }
    write_log(log_level::info, "config_applied", fields);
}

void node_process::report(const rollout_requested& event) {
    write_log(log_level::info, "rollout_ordered",
              {{"service", event.request.service.value},
               {"target", event.request.target.value},
               {"duration_ms", event.request.duration.count()}});
}

void node_process::report(const store_changed& event) {
    std::vector<log_field> fields;
    if (event.outage) {
        fields.emplace_back("outage_ms", event.outage->count());
    }
    write_log(event.reachable ? log_level::info : log_level::warning,
              event.reachable ? "store_reachable" : "store_lost", fields);
}

void node_process::report(const records_requested& event) {
    if (!log_enabled(log_level::debug)) {
        return;
    }
    std::vector<log_field> fields{{"node", to_string(event.peer)}};
    append_position(fields, "after", event.after);
    write_log(log_level::debug, "records_requested", fields);
}

void node_process::report(const departure_answered& event) {
    write_log(event.recorded ? log_level::info : log_level::warning, "departure_answered",
              {{"upstream", event.departure.id}, {"recorded", event.recorded}});
}

void node_process::report(const record_skipped& event) {
    core_.counts().record_skips.add(event.reason);
    write_log(log_level::info, "record_skipped",
              {{"key", event.key},
               {"reason", to_string(event.reason)},
               {"era", era_of(event.offset).value()},
               {"number", number_of(event.offset)},
               {"known_era", era_of(event.known_offset).value()},
               {"known_number", number_of(event.known_offset)},
               {"version", event.version},
               {"known_version", event.known_version}});
}

void node_process::report(const store_history_replaced& event) {
    write_log(log_level::warning, "store_history_replaced",
              {{"previous_era", event.previous.value()}, {"era", event.current.value()}});
}

void node_process::report(const stale_store_response& event) {
    write_log(log_level::warning, "stale_store_response",
              {{"response_era", event.era.value()}, {"era", event.current.value()}});
}

void node_process::report(const record_unreadable& event) {
    std::vector<log_field> fields{{"key", event.key}};
    append_position(fields, "offset", event.offset);
    write_log(log_level::warning, "record_unreadable", fields);
}

} // namespace goldcrestwell
