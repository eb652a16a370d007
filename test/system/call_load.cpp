#include "system/call_load.hpp"

#include <algorithm>

namespace goldcrestwell::test {

namespace {

constexpr std::size_t max_response_bytes = std::size_t{1} << 20U;
constexpr std::chrono::seconds finish_limit{45};

std::string next_request_id() {
    static std::uint64_t last{};
    return "call-" + std::to_string(++last);
}

} // namespace

call_load::call_load(test_loop& loop, call_load_options options) : loop_{loop}, options_{std::move(options)} {
    for (const auto port : options_.ports) {
        for (std::size_t index = 0; index < options_.callers_per_port; ++index) {
            auto& added = *callers_.emplace_back(std::make_unique<caller>());
            added.port = port;
            added.next = std::make_unique<timer>(loop_.loop(), [this, &added](time_sample) { start_call(added); });
            added.next->schedule_after(std::chrono::milliseconds{index});
        }
    }
}

call_load::~call_load() {
    finish();
}

bool call_load::finish() {
    stop();
    return loop_.wait_until([this] { return idle(); }, finish_limit);
}

std::size_t call_load::count(const call_ending ending, const steady_time since) const {
    return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), [&](const call_record& record) {
        return record.ending() == ending && record.started >= since;
    }));
}

void call_load::start_call(caller& from) {
    if (stopping_) {
        return;
    }
    if (from.connection == nullptr || !from.connection->idle()) {
        from.connection = std::make_unique<http_connection>(
            loop_.loop(), endpoint{.address = "127.0.0.1", .port = from.port}, max_response_bytes);
    }
    from.current = {
        .id = next_request_id(), .target = options_.target, .port = from.port, .started = loop_.loop().now().steady};
    ++in_progress_;
    from.connection->send({.method = options_.method,
                           .target = options_.target,
                           .headers = {{.name = "x-request-id", .value = from.current.id}},
                           .body = options_.method == "POST" ? "body of " + from.current.id : "",
                           .timeout = options_.client_timeout},
                          [this, &from](const upstream_result& result) { on_result(from, result); });
}

void call_load::on_result(caller& from, const upstream_result& result) {
    --in_progress_;
    from.current.result = result;
    from.current.took =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.loop().now().steady - from.current.started);
    records_.push_back(from.current);
    // A caller leaves a node that says it is leaving, as a load balancer in front of it would.
    if (from.current.reason() != "draining") {
        from.next->schedule_after(options_.pause);
    }
}

} // namespace goldcrestwell::test
