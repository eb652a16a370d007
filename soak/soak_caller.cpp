#include "soak/soak_caller.hpp"

#include "goldcrestwell/shell/http_headers.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestwell::soak {

namespace {

constexpr std::size_t max_response_bytes = 65'536;
constexpr std::chrono::milliseconds timeout_margin{1'500};
constexpr std::uint32_t status_ok = 200;
// Statuses which guarantee that the request has not run and will not run later.
constexpr std::array<std::uint32_t, 4> not_run_statuses{408, 421, 429, 503};

} // namespace

soak_caller::soak_caller(event_loop& loop, soak_caller_options options)
    : loop_{loop}, options_{std::move(options)}, random_{options_.seed}, next_call_timer_{loop, [this](time_sample) {
                                                                                              start_call();
                                                                                          }} {
    next_call_timer_.schedule_after(options_.pause);
}

void soak_caller::start_call() {
    if (stopped_) {
        return;
    }
    if (connection_ == nullptr || !connection_->idle()) {
        connection_ = std::make_unique<http_connection>(loop_, endpoint{.address = "127.0.0.1", .port = options_.port},
                                                        max_response_bytes);
    }
    const auto non_idempotent = std::bernoulli_distribution{0.5}(random_);
    const auto id = options_.name + "-" + std::to_string(++last_request_number_);
    if (non_idempotent) {
        options_.record->non_idempotent.insert(id);
    }
    ++options_.record->calls;
    call_in_progress_ = true;
    connection_->send(
        {.method = non_idempotent ? "POST" : "GET",
         .target = non_idempotent ? "/pay/1" : "/read/1",
         .headers = {{.name = "Host", .value = "shop.example"},
                     {.name = "Goldcrestwell-Request-Id", .value = id},
                     {.name = "Goldcrestwell-Deadline-Ms", .value = std::to_string(options_.deadline.count())}},
         .timeout = options_.deadline + timeout_margin},
        [this, id, started = loop_.now().steady](const upstream_result& result) { on_result(id, result, started); });
}

void soak_caller::on_result(const std::string& id, const upstream_result& result, const steady_time started) {
    call_in_progress_ = false;
    next_call_timer_.schedule_after(options_.pause);
    if (result.outcome == upstream_outcome::answered) {
        check_response(id, result.response);
        return;
    }
    if (result.outcome == upstream_outcome::invalid) {
        options_.record->failures.push_back("request " + id + " received an invalid response");
    }
    // The sidecar may close an idle connection while a request is on its way. It then never reads the request and logs
    // nothing about it.
    const auto lost_at_close = result.outcome == upstream_outcome::reset && !options_.record->runs.contains(id);
    const auto cut = result.outcome != upstream_outcome::not_sent && !lost_at_close;
    if (cut && options_.is_undisturbed_since(started)) {
        options_.record->failures.push_back("request " + id + " was cut off although only planned work was in effect");
    }
}

void soak_caller::check_response(const std::string& id, const http_response& response) {
    if (response.status == status_ok) {
        ++options_.record->answered;
        const auto matches_request = find_header(response.headers, "Goldcrestwell-Request-Id").value_or("") == id &&
                                     response.body == "answer to " + id &&
                                     find_header(response.headers, "Goldcrestwell-Response-Signature").has_value();
        if (!matches_request) {
            options_.record->failures.push_back("request " + id + " received a response that does not match it");
        }
    } else if (std::ranges::find(not_run_statuses, response.status) != not_run_statuses.end()) {
        options_.record->reported_not_run.insert(id);
    }
}

} // namespace goldcrestwell::soak
