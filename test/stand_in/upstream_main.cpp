#include "stand_in/announcer.hpp"
#include "stand_in/upstream_faults.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <iostream>
#include <map>

namespace {

using namespace goldcrestwell::test;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds announce_interval{1000};
// Other nodes may still send calls shortly after the withdrawal; the process still runs them.
constexpr milliseconds drain_delay{500};
// The last response must be written before the process exits.
constexpr milliseconds exit_delay{100};
// Factor on the work time of a call during the cold start.
constexpr int cold_start_factor = 10;
// The upstream sheds load above this number of queued calls per slot.
constexpr std::size_t max_queued_calls_per_slot = 20;

struct upstream_options {
    std::uint16_t port{};
    std::string service;
    std::string version;
    std::string node;
    std::uint32_t slots{};
    std::uint32_t connections{};
    milliseconds work{};
    milliseconds cold_start{};
    std::uint64_t seed{};
};

class upstream {
public:
    explicit upstream(upstream_options options)
        : options_{std::move(options)}, faults_{options_.seed},
          service_{options_.port, [this](evhttp_request* request, const http_input& input) { handle(request, input); },
                   [this] {
                       withdraw();
                   }},
          announcer_{service_, options_.node} {}

    [[nodiscard]] bool run() {
        if (!service_.ready()) {
            return false;
        }
        announce();
        service_.run();
        return true;
    }

private:
    struct queued_call {
        evhttp_request* request;
        std::string path;
        std::string id;
    };

    void handle(evhttp_request* request, const http_input& input) {
        if (input.path == "/faults") {
            if (input.method == EVHTTP_REQ_POST) {
                faults_.set(input.query, steady_clock::now());
            }
            http_service::reply(request, HTTP_OK, faults_.to_json(), "application/json");
        } else if (input.path == "/runs") {
            http_service::reply(request, HTTP_OK, runs_to_json(input.query.contains("all")), "application/json");
        } else if (queue_.size() >= max_queued_calls_per_slot * options_.slots) {
            http_service::reply(request, HTTP_SERVUNAVAIL, "overloaded\n");
        } else {
            queue_.push_back({.request = request, .path = input.path, .id = input.request_id});
            start_queued();
        }
    }

    void start_queued() {
        while (running_ < options_.slots && !queue_.empty()) {
            const queued_call call = std::move(queue_.front());
            queue_.pop_front();
            start(call);
        }
    }

    void start(const queued_call& call) {
        const auto now = steady_clock::now();
        const auto plan = faults_.plan(call.path, load(), now);
        ++started_calls_;
        const auto run_count = call.id.empty() ? 1 : ++runs_[call.id];
        if (plan.ending == call_ending::hang) {
            return; // the connection stays open and silent until the caller closes it
        }
        ++running_;
        const bool cold = now < started_ + options_.cold_start;
        const auto work = options_.work * (cold ? cold_start_factor : 1) + plan.extra;
        if (work.count() == 0) {
            finish(call, plan.ending, run_count);
            return;
        }
        service_.call_after(work, [this, call, ending = plan.ending, run_count] { finish(call, ending, run_count); });
    }

    void finish(const queued_call& call, const call_ending ending, const std::uint64_t run_count) {
        --running_;
        const auto body = nlohmann::json{
            {"service", options_.service},
            {"version", options_.version},
            {"path", call.path},
            {"request_id", call.id},
            {"times_run",
             run_count}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        if (ending == call_ending::truncate) {
            service_.reply_truncated(call.request, body);
        } else {
            http_service::reply(call.request, ending == call_ending::fail ? HTTP_INTERNAL : HTTP_OK, body,
                                "application/json");
        }
        start_queued();
        stop_if_drained();
    }

    [[nodiscard]] std::size_t load() const noexcept { return running_ + queue_.size(); }

    // With `all`, lists every request id, so that a test can add up the runs at several upstreams.
    [[nodiscard]] std::string runs_to_json(const bool all) const {
        auto repeated = nlohmann::json::object();
        for (const auto& [id, run_count] : runs_) {
            if (run_count > 1) {
                repeated[id] = run_count;
            }
        }
        nlohmann::json report{{"calls", started_calls_}, {"distinct", runs_.size()}, {"repeated", repeated}};
        if (all) {
            report["runs"] = runs_;
        }
        return report.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    void announce() {
        if (options_.node.empty() || withdrawing_) {
            return;
        }
        std::string address{"127.0.0.1:"};
        address += std::to_string(options_.port);
        const nlohmann::json body{
            {"service", options_.service}, {"upstream_version", options_.version}, {"address", address},
            {"slots", options_.slots},     {"connections", options_.connections},  {"load", load()}};
        announcer_.post("/announce", body.dump(), [] {});
        service_.call_after(announce_interval, [this] { announce(); });
    }

    void withdraw() {
        if (std::exchange(withdrawing_, true)) {
            return;
        }
        if (options_.node.empty()) {
            drain();
            return;
        }
        announcer_.post("/withdraw", "{}", [this] { service_.call_after(drain_delay, [this] { drain(); }); });
    }

    void drain() {
        draining_ = true;
        stop_if_drained();
    }

    void stop_if_drained() {
        if (!draining_ || load() != 0) {
            return;
        }
        service_.call_after(exit_delay, [this] {
            if (load() == 0) {
                service_.stop();
            }
        });
    }

    upstream_options options_;
    upstream_faults faults_;
    steady_clock::time_point started_{steady_clock::now()};
    std::deque<queued_call> queue_;
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t started_calls_{};
    std::size_t running_{};
    bool withdrawing_{};
    bool draining_{};
    http_service service_;
    announcer announcer_;
};

upstream_options read_options(const int argc, char** argv) {
    cxxopts::Options options{"stand_in_upstream", "Stands in for an upstream in tests"};
    const auto number = [](const char* fallback) {
        return cxxopts::value<std::uint32_t>()->default_value(fallback);
    };
    auto add = options.add_options();
    add("port", "Port on 127.0.0.1", cxxopts::value<std::uint16_t>());
    add("service", "Name of the service", cxxopts::value<std::string>()->default_value("service"));
    add("version", "Version of the upstream", cxxopts::value<std::string>()->default_value("1"));
    add("node", "Admin listener of the node, a.b.c.d:port", cxxopts::value<std::string>()->default_value(""));
    add("slots", "Calls run at the same time", number("10"));
    add("connections", "Connections announced", number("130"));
    add("work-ms", "Time of one call", number("0"));
    add("cold-start-ms", "Time after the start in which calls take ten times as long", number("0"));
    add("seed", "Seed of the faults", number("1"));
    const auto parsed = options.parse(argc, argv);
    const auto value = [&parsed](const char* name) {
        return parsed[name].as<std::uint32_t>();
    };
    return {.port = parsed["port"].as<std::uint16_t>(),
            .service = parsed["service"].as<std::string>(),
            .version = parsed["version"].as<std::string>(),
            .node = parsed["node"].as<std::string>(),
            .slots = value("slots"),
            .connections = value("connections"),
            .work = milliseconds{value("work-ms")},
            .cold_start = milliseconds{value("cold-start-ms")},
            .seed = value("seed")};
}

} // namespace

int main(int argc, char** argv) {
    try {
        upstream process{read_options(argc, argv)};
        if (!process.run()) {
            std::cerr << "stand_in_upstream: cannot bind the port\n";
            return 1;
        }
    } catch (const std::exception& error) {
        std::cerr << "stand_in_upstream: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
