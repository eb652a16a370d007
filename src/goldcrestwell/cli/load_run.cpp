#include "goldcrestwell/cli/load_run.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

// A timeout of zero would select the default of libevent.
constexpr std::chrono::milliseconds min_timeout{1};

} // namespace

load_run::load_run(event_loop& loop, load_options options)
    : loop_{loop}, options_{std::move(options)}, ids_{options_.seed}, random_{options_.seed},
      start_interval_{options_.rate}, timer_{loop,
                                             [this](const time_sample now) {
                                                 start_due_calls(now.steady);
                                             }},
      body_(options_.body_bytes, 'x') {
    for (const auto& address : options_.targets) {
        auto& added = targets_.emplace_back(target{.address = address});
        added.slots.resize(options_.connections);
    }
}

void load_run::run() {
    next_start_ = loop_.now().steady;
    measurement_start_ = next_start_ + options_.warm_up;
    measurement_end_ = measurement_start_ + options_.duration;
    plan_next_call();
    timer_.schedule_at(next_start_);
    loop_.run();
}

void load_run::start_due_calls(const steady_time now) {
    while (next_start_ <= now && next_start_ < measurement_end_) {
        const planned_call call{.number = started_calls_++, .planned_start = next_start_};
        plan_next_call();
        send_or_queue(targets_[call.number % targets_.size()], call);
    }
    if (next_start_ < measurement_end_) {
        timer_.schedule_at(next_start_);
    }
    stop_if_finished();
}

void load_run::plan_next_call() {
    next_start_ +=
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>{start_interval_(random_)});
}

void load_run::send_or_queue(target& to, const planned_call& call) {
    for (std::size_t index = 0; index < to.slots.size(); ++index) {
        if (!to.slots[index].busy) {
            send(to, index, call);
            return;
        }
    }
    to.waiting.push_back(call);
}

void load_run::send(target& to, const std::size_t slot_index, const planned_call& call) {
    auto& [connection, busy] = to.slots[slot_index];
    busy = true;
    if (connection == nullptr) {
        connection = std::make_unique<http_connection>(loop_, to.address, max_body_bytes);
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now().steady - call.planned_start);
    connection->send(
        {.method = options_.method,
         .target = options_.path,
         .headers = {{.name = "x-request-id", .value = ids_.id(call.number)}},
         .body = body_,
         .timeout = std::max(options_.timeout - elapsed, min_timeout)},
        [this, &to, slot_index, call](const upstream_result& result) { handle_result(to, slot_index, call, result); });
}

void load_run::handle_result(target& from, const std::size_t slot_index, const planned_call& call,
                             const upstream_result& result) {
    record_result(call, result, loop_.now().steady);
    auto& [connection, busy] = from.slots[slot_index];
    busy = false;
    if (connection->broken()) {
        connection.reset();
    }
    send_next_waiting(from, slot_index);
    stop_if_finished();
}

void load_run::record_result(const planned_call& call, const upstream_result& result, const steady_time now) {
    ++ended_calls_;
    if (result.outcome == upstream_outcome::answered) {
        report_.add(ids_.owner(result.response, ids_.id(call.number)));
    }
    if (call.planned_start >= measurement_start_) {
        report_.add(result, now - call.planned_start);
    }
}

void load_run::send_next_waiting(target& to, const std::size_t slot_index) {
    const auto now = loop_.now().steady;
    while (!to.waiting.empty()) {
        const auto call = to.waiting.front();
        to.waiting.pop_front();
        if (now < call.planned_start + options_.timeout) {
            send(to, slot_index, call);
            return;
        }
        record_result(call, {.outcome = upstream_outcome::timed_out}, now);
    }
}

void load_run::stop_if_finished() {
    if (next_start_ >= measurement_end_ && ended_calls_ == started_calls_) {
        loop_.stop();
    }
}

} // namespace goldcrestwell
