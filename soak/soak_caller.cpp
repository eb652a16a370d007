#include "soak/soak_caller.hpp"

#include "goldcrestwell/shell/http_headers.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestwell::soak {

namespace {

constexpr std::size_t max_response_bytes = 65'536;
constexpr std::chrono::milliseconds patience{1'500};
constexpr std::uint32_t status_ok = 200;
// Statuses that promise that the request has not run and never will.
constexpr std::array<std::uint32_t, 4> not_run{408, 421, 429, 503};

} // namespace

soak_caller::soak_caller(event_loop& loop, soak_caller_options options)
    : loop_{loop}, options_{std::move(options)}, random_{options_.seed}, next_{loop, [this](time_sample) {
                                                                                   call();
                                                                               }} {
    next_.schedule_after(options_.pause);
}

void soak_caller::call() {
    if (stopped_) {
        return;
    }
    if (connection_ == nullptr || !connection_->idle()) {
        connection_ = std::make_unique<http_connection>(loop_, endpoint{.address = "127.0.0.1", .port = options_.port},
                                                        max_response_bytes);
    }
    const auto single = std::bernoulli_distribution{0.5}(random_);
    const auto id = options_.name + "-" + std::to_string(++last_);
    if (single) {
        options_.record->single.insert(id);
    }
    ++options_.record->calls;
    busy_ = true;
    connection_->send(
        {.method = single ? "POST" : "GET",
         .target = single ? "/pay/1" : "/read/1",
         .headers = {{.name = "Host", .value = "shop.example"},
                     {.name = "Goldcrestwell-Request-Id", .value = id},
                     {.name = "Goldcrestwell-Deadline-Ms", .value = std::to_string(options_.deadline.count())}},
         .timeout = options_.deadline + patience},
        [this, id, started = loop_.now().steady](const upstream_result& result) { on_result(id, result, started); });
}

void soak_caller::on_result(const std::string& id, const upstream_result& result, const steady_time started) {
    busy_ = false;
    next_.schedule_after(options_.pause);
    if (result.outcome == upstream_outcome::answered) {
        check_answer(id, result.response);
        return;
    }
    if (result.outcome == upstream_outcome::invalid) {
        options_.record->failures.push_back("request " + id + " got bytes that are no answer");
    }
    // A request may cross the close of its connection; the sidecar has then not read it, and its log has no line of it.
    const auto crossed = result.outcome == upstream_outcome::reset && !options_.record->runs.contains(id);
    const auto cut = result.outcome != upstream_outcome::not_sent && !crossed;
    if (cut && options_.calm(started)) {
        options_.record->failures.push_back("request " + id + " was cut although all work was planned");
    }
}

void soak_caller::check_answer(const std::string& id, const http_response& answer) {
    if (answer.status == status_ok) {
        ++options_.record->answered;
        const auto own = find_header(answer.headers, "Goldcrestwell-Request-Id").value_or("") == id &&
                         answer.body == "answer to " + id &&
                         find_header(answer.headers, "Goldcrestwell-Response-Signature").has_value();
        if (!own) {
            options_.record->failures.push_back("request " + id + " got an answer that is not its own");
        }
    } else if (std::ranges::find(not_run, answer.status) != not_run.end()) {
        options_.record->denied.insert(id);
    }
}

} // namespace goldcrestwell::soak
