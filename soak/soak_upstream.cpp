#include "soak/soak_upstream.hpp"

#include "goldcrestwell/shell/http_headers.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace goldcrestwell::soak {

namespace {

constexpr std::int64_t first_start = 1'700'000'000'000;
constexpr std::size_t heartbeat_answer_bytes = 4'096;
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t status_ok = 200;

} // namespace

soak_upstream::soak_upstream(event_loop& loop, soak_upstream_options options)
    : loop_{loop}, options_{std::move(options)}, random_{options_.seed}, later_{loop}, next_beat_{loop,
                                                                                                  [this](time_sample) {
                                                                                                      beat();
                                                                                                  }},
      server_{loop, {.port = options_.port, .on_request = [this](const std::shared_ptr<http_exchange>& exchange) {
                         serve(exchange);
                     }}} {
    if (!server_.start()) {
        options_.record->failures.emplace_back("an upstream could not bind its port");
    }
    beat();
}

bool soak_upstream::happens(const double part) {
    return std::bernoulli_distribution{part}(random_);
}

void soak_upstream::replace() {
    if (leaving_) {
        return;
    }
    leaving_ = true;
    beat();
    later_.run(options_.drain * 2, [this] {
        ++start_;
        sequence_ = 0;
        leaving_ = false;
        acknowledged_.reset();
    });
}

void soak_upstream::beat() {
    const nlohmann::json body{{"service", options_.service},
                              {"address", "127.0.0.1:" + std::to_string(options_.announced_port)},
                              {"zone", "north"},
                              {"version", "v1"},
                              {"slots", slots},
                              {"state", leaving_ ? "draining" : "ready"},
                              {"cold_left_ms", 0},
                              {"sequence", ++sequence_},
                              {"born", first_start + static_cast<std::int64_t>(start_)}};
    connection_ = std::make_unique<http_connection>(loop_, endpoint{.address = "127.0.0.1", .port = options_.node_port},
                                                    heartbeat_answer_bytes);
    const auto id = "u-" + std::to_string(options_.port) + "-" + std::to_string(start_);
    connection_->send({.method = "PUT",
                       .target = "/goldcrestwell/instances/" + id,
                       .body = body.dump(),
                       .timeout = std::chrono::seconds{1}},
                      [this, leaving = leaving_](const upstream_result& result) {
                          const auto heard =
                              result.outcome == upstream_outcome::answered && result.response.status == status_ok;
                          if (heard && leaving && leaving_ && !acknowledged_) {
                              acknowledged_ = loop_.now().steady;
                          }
                      });
    next_beat_.schedule_after(options_.heartbeat);
}

void soak_upstream::serve(const std::shared_ptr<http_exchange>& exchange) {
    const std::string id{find_header(exchange->headers(), "Goldcrestwell-Request-Id").value_or("")};
    // The rest of the node's grace is left for what was sent just before the end of the drain.
    if (acknowledged_ && loop_.now().steady > *acknowledged_ + options_.drain) {
        options_.record->failures.push_back("request " + id + " reached an upstream after its drain");
    }
    if (happens(trouble_.reject)) {
        exchange->reply({.status = 503, .headers = {{.name = "Goldcrestwell-Not-Executed", .value = "1"}}});
        return;
    }
    ++options_.record->runs[id];
    std::uniform_int_distribution<int> work{3, 60};
    later_.run(std::chrono::milliseconds{work(random_)} + trouble_.slow,
               [this, exchange, id] { answer(exchange, id); });
}

void soak_upstream::answer(const std::shared_ptr<http_exchange>& exchange, const std::string& id) {
    if (happens(trouble_.lose_answer)) {
        // The connection stays open and silent until the node gives it up.
        later_.run(std::chrono::seconds{30}, [exchange] {});
        return;
    }
    exchange->reply({.status = happens(trouble_.fail) ? 500U : status_ok,
                     .headers = {{.name = "Goldcrestwell-Request-Id", .value = id},
                                 {.name = "Goldcrestwell-Response-Signature", .value = "signed"}},
                     .body = "answer to " + id});
}

} // namespace goldcrestwell::soak
