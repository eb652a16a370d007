#include "goldcrestwell/cli/load_run.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

// A time-out of zero would select libevent's own default.
constexpr std::chrono::milliseconds shortest_timeout{1};

} // namespace

load_run::load_run(event_loop& loop, load_options options)
    : loop_{loop}, options_{std::move(options)}, ids_{options_.seed}, random_{options_.seed}, gap_{options_.rate},
      timer_{loop,
             [this](const time_sample now) {
                 start_due(now.steady);
             }},
      body_(options_.body_bytes, 'x') {
    for (const auto& address : options_.targets) {
        auto& added = targets_.emplace_back(target{.address = address});
        added.slots.resize(options_.connections);
    }
}

void load_run::run() {
    next_start_ = loop_.now().steady;
    measured_from_ = next_start_ + options_.warm_up;
    ends_ = measured_from_ + options_.duration;
    plan_next();
    timer_.arm_at(next_start_);
    loop_.run();
}

void load_run::start_due(const steady_time now) {
    while (next_start_ <= now && next_start_ < ends_) {
        const planned_call call{.number = started_++, .planned = next_start_};
        plan_next();
        place(targets_[call.number % targets_.size()], call);
    }
    if (next_start_ < ends_) {
        timer_.arm_at(next_start_);
    }
    stop_if_finished();
}

void load_run::plan_next() {
    next_start_ += std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>{gap_(random_)});
}

void load_run::place(target& to, const planned_call& call) {
    for (std::size_t index = 0; index < to.slots.size(); ++index) {
        if (!to.slots[index].busy) {
            send(to, index, call);
            return;
        }
    }
    to.waiting.push_back(call);
}

void load_run::send(target& to, const std::size_t place, const planned_call& call) {
    auto& [connection, busy] = to.slots[place];
    busy = true;
    if (connection == nullptr) {
        connection = std::make_unique<http_connection>(loop_, to.address, max_body_bytes);
    }
    const auto used = std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now().steady - call.planned);
    connection->send({.method = options_.method,
                      .target = options_.path,
                      .headers = {{.name = "x-request-id", .value = ids_.id(call.number)}},
                      .body = body_,
                      .timeout = std::max(options_.timeout - used, shortest_timeout)},
                     [this, &to, place, call](const upstream_result& result) { on_result(to, place, call, result); });
}

void load_run::on_result(target& from, const std::size_t place, const planned_call& call,
                         const upstream_result& result) {
    finish(call, result, loop_.now().steady);
    auto& [connection, busy] = from.slots[place];
    busy = false;
    if (connection->broken()) {
        connection.reset();
    }
    start_waiting(from, place);
    stop_if_finished();
}

void load_run::finish(const planned_call& call, const upstream_result& result, const steady_time now) {
    ++ended_;
    if (result.outcome == upstream_outcome::answered) {
        report_.add(ids_.owner(result.response, ids_.id(call.number)));
    }
    if (call.planned >= measured_from_) {
        report_.add(result, now - call.planned);
    }
}

void load_run::start_waiting(target& to, const std::size_t place) {
    const auto now = loop_.now().steady;
    while (!to.waiting.empty()) {
        const auto call = to.waiting.front();
        to.waiting.pop_front();
        if (now < call.planned + options_.timeout) {
            send(to, place, call);
            return;
        }
        finish(call, {.outcome = upstream_outcome::timed_out}, now);
    }
}

void load_run::stop_if_finished() {
    if (next_start_ >= ends_ && ended_ == started_) {
        loop_.stop();
    }
}

} // namespace goldcrestwell
