#include "soak/soak_upstream.hpp"

#include "goldcrestwell/shell/http_headers.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace goldcrestwell::soak {

namespace {

constexpr std::int64_t first_start_time_ms = 1'700'000'000'000;
constexpr std::size_t max_announcement_response_bytes = 4'096;
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t status_ok = 200;

} // namespace

soak_upstream::soak_upstream(event_loop& loop, soak_upstream_options options)
    : loop_{loop}, options_{std::move(options)}, random_{options_.seed}, delayed_tasks_{loop},
      announcement_timer_{loop,
                          [this](time_sample) {
                              send_announcement();
                          }},
      server_{loop, {.port = options_.port, .on_request = [this](const std::shared_ptr<http_exchange>& exchange) {
                         handle_request(exchange);
                     }}} {
    if (!server_.start()) {
        options_.record->failures.emplace_back("an upstream could not bind its port");
    }
    send_announcement();
}

bool soak_upstream::occurs(const double probability) {
    return std::bernoulli_distribution{probability}(random_);
}

void soak_upstream::replace() {
    if (draining_) {
        return;
    }
    draining_ = true;
    send_announcement();
    delayed_tasks_.schedule(options_.drain * 2, [this] {
        ++instance_number_;
        sequence_ = 0;
        draining_ = false;
        drain_acknowledged_at_.reset();
    });
}

void soak_upstream::send_announcement() {
    const nlohmann::json body{{"service", options_.service},
                              {"address", "127.0.0.1:" + std::to_string(options_.announced_port)},
                              {"zone", options_.data_centre},
                              {"version", "v1"},
                              {"slots", slots},
                              {"state", draining_ ? "draining" : "ready"},
                              {"cold_left_ms", 0},
                              {"sequence", ++sequence_},
                              {"born", first_start_time_ms + static_cast<std::int64_t>(instance_number_)}};
    connection_ = std::make_unique<http_connection>(loop_, endpoint{.address = "127.0.0.1", .port = options_.node_port},
                                                    max_announcement_response_bytes);
    const auto id = "u-" + std::to_string(options_.port) + "-" + std::to_string(instance_number_);
    connection_->send({.method = "PUT",
                       .target = "/goldcrestwell/instances/" + id,
                       .body = body.dump(),
                       .timeout = std::chrono::seconds{1}},
                      [this, draining = draining_](const upstream_result& result) {
                          const auto accepted =
                              result.outcome == upstream_outcome::answered && result.response.status == status_ok;
                          if (accepted && draining && draining_ && !drain_acknowledged_at_) {
                              drain_acknowledged_at_ = loop_.now().steady;
                          }
                      });
    announcement_timer_.schedule_after(options_.announcement_interval);
}

void soak_upstream::handle_request(const std::shared_ptr<http_exchange>& exchange) {
    const std::string id{find_header(exchange->headers(), "Goldcrestwell-Request-Id").value_or("")};
    // The node removes a draining upstream after a leave grace period of at most a third of the drain. The rest of
    // the drain is for requests that were sent just before.
    if (drain_acknowledged_at_ && loop_.now().steady > *drain_acknowledged_at_ + options_.drain) {
        options_.record->failures.push_back("request " + id + " reached an upstream after its drain");
    }
    if (occurs(faults_.rejection_probability)) {
        exchange->reply({.status = 503, .headers = {{.name = "Goldcrestwell-Not-Executed", .value = "1"}}});
        return;
    }
    ++options_.record->runs[id];
    std::uniform_int_distribution<int> work_ms{3, 60};
    delayed_tasks_.schedule(std::chrono::milliseconds{work_ms(random_)} + faults_.added_delay,
                            [this, exchange, id] { send_response(exchange, id); });
}

void soak_upstream::send_response(const std::shared_ptr<http_exchange>& exchange, const std::string& id) {
    if (occurs(faults_.lost_response_probability)) {
        // Keeps the connection open without a response until the node closes it.
        delayed_tasks_.schedule(std::chrono::seconds{30}, [exchange] {});
        return;
    }
    exchange->reply({.status = occurs(faults_.failure_probability) ? 500U : status_ok,
                     .headers = {{.name = "Goldcrestwell-Request-Id", .value = id},
                                 {.name = "Goldcrestwell-Response-Signature", .value = "signed"}},
                     .body = "answer to " + id});
}

} // namespace goldcrestwell::soak
