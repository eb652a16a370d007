#include "store_return/route_caller.hpp"

#include <utility>

namespace goldcrestwell::test {

namespace {

constexpr std::size_t max_response_bytes = 65'536;
constexpr std::chrono::milliseconds deadline{6'000};
constexpr std::chrono::milliseconds timeout{8'000};
constexpr std::uint32_t status_ok = 200;

} // namespace

route_caller::route_caller(event_loop& loop, route_caller_options options)
    : loop_{loop}, options_{std::move(options)}, next_call_timer_{loop, [this](time_sample) {
                                                                      start_call();
                                                                  }} {
    next_call_timer_.schedule_after(options_.pause);
}

void route_caller::start_call() {
    if (connection_ == nullptr || !connection_->idle()) {
        connection_ = std::make_unique<http_connection>(loop_, endpoint{.address = "127.0.0.1", .port = options_.port},
                                                        max_response_bytes);
    }
    const auto id = std::to_string(options_.host) + options_.target + "-" + std::to_string(++last_request_number_);
    connection_->send(
        {.target = options_.target,
         .headers = {{.name = "Host", .value = "shop.example"},
                     {.name = "Goldcrestwell-Request-Id", .value = id},
                     {.name = "Goldcrestwell-Deadline-Ms", .value = std::to_string(deadline.count())}},
         .timeout = timeout},
        [this, started = loop_.now().steady](const upstream_result& result) { on_result(result, started); });
}

void route_caller::on_result(const upstream_result& result, const steady_time started) {
    next_call_timer_.schedule_after(options_.pause);
    routed_call call{
        .host = options_.host, .target = options_.target, .started = started, .finished = loop_.now().steady};
    if (result.outcome == upstream_outcome::answered) {
        call.status = result.response.status;
        call.service = call.status == status_ok ? result.response.body.str() : "";
    }
    options_.on_call(call);
}

} // namespace goldcrestwell::test
