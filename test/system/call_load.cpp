#include "system/call_load.hpp"

#include <algorithm>

namespace goldcrestwell::test {

namespace {

constexpr std::size_t max_response_bytes = std::size_t{1} << 20U;
constexpr std::chrono::seconds finish_timeout{45};

std::string next_request_id() {
    static std::uint64_t last{};
    return "call-" + std::to_string(++last);
}

} // namespace

call_load::call_load(test_loop& loop, call_load_options options) : loop_{loop}, options_{std::move(options)} {
    for (const auto port : options_.ports) {
        for (std::size_t index = 0; index < options_.callers_per_port; ++index) {
            auto& sender = *callers_.emplace_back(std::make_unique<caller>());
            sender.port = port;
            sender.next_call_timer =
                std::make_unique<timer>(loop_.loop(), [this, &sender](time_sample) { start_call(sender); });
            sender.next_call_timer->schedule_after(std::chrono::milliseconds{index});
        }
    }
}

call_load::~call_load() {
    finish();
}

bool call_load::finish() {
    stop();
    return loop_.wait_until([this] { return idle(); }, finish_timeout);
}

std::size_t call_load::count(const call_ending ending, const steady_time since) const {
    return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), [&](const call_record& record) {
        return record.ending() == ending && record.started >= since;
    }));
}

void call_load::start_call(caller& sender) {
    if (stopping_) {
        return;
    }
    if (sender.connection == nullptr || !sender.connection->idle()) {
        sender.connection = std::make_unique<http_connection>(
            loop_.loop(), endpoint{.address = "127.0.0.1", .port = sender.port}, max_response_bytes);
    }
    sender.current = {
        .id = next_request_id(), .target = options_.target, .port = sender.port, .started = loop_.loop().now().steady};
    ++in_progress_;
    sender.connection->send({.method = options_.method,
                             .target = options_.target,
                             .headers = {{.name = "x-request-id", .value = sender.current.id}},
                             .body = options_.method == "POST" ? "body of " + sender.current.id : "",
                             .timeout = options_.client_timeout},
                            [this, &sender](const upstream_result& result) { on_result(sender, result); });
}

void call_load::on_result(caller& sender, const upstream_result& result) {
    --in_progress_;
    sender.current.result = result;
    sender.current.duration =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.loop().now().steady - sender.current.started);
    records_.push_back(sender.current);
    // Callers stop calling a draining node, as a load balancer in front of the node would.
    if (sender.current.reason() != "draining") {
        sender.next_call_timer->schedule_after(options_.pause);
    }
}

} // namespace goldcrestwell::test
