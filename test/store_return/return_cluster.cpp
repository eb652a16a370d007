#include "store_return/return_cluster.hpp"

#include "goldcrestwell/shell/http_headers.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace goldcrestwell::test {

namespace {

constexpr std::chrono::milliseconds announcement_interval{300};
constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::seconds wait_timeout{20};
constexpr std::size_t max_response_bytes = std::size_t{1} << 20U;
constexpr std::uint32_t status_ok = 200;

std::filesystem::path make_directory() {
    auto name = (std::filesystem::temp_directory_path() / "goldcrestwell-return-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error{"cannot create a temporary folder"};
    }
    return name;
}

std::string local_address(const std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

void reply_with_service(const std::shared_ptr<http_exchange>& exchange, const std::string& service) {
    const std::string id{find_header(exchange->headers(), "Goldcrestwell-Request-Id").value_or("")};
    exchange->reply({.status = status_ok,
                     .headers = {{.name = "Goldcrestwell-Request-Id", .value = id},
                                 {.name = "Goldcrestwell-Response-Signature", .value = "signed"}},
                     .body = service});
}

} // namespace

return_cluster::return_cluster(return_cluster_options options)
    : options_{options}, directory_{make_directory()}, next_port_{options.first_port},
      store_port_{next_port_++}, store_{loop_, store_port_}, interval_timer_{loop_, [this](time_sample) {
                                                                                 on_interval();
                                                                             }} {
    // A killed node closes connections on which the test may still write.
    std::signal(SIGPIPE, SIG_IGN);
    if (!store_.start()) {
        std::filesystem::remove(directory_);
        BOOST_FAIL("port " << store_port_ << " is in use, perhaps by another run of this test");
    }
    for (std::size_t index = 0; index < 2 * options_.hosts_per_data_centre; ++index) {
        add_host(index);
    }
}

return_cluster::~return_cluster() {
    for (auto& target : hosts_) {
        target->process.reset();
    }
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void return_cluster::add_host(const std::size_t index) {
    auto& added = *hosts_.emplace_back(std::make_unique<host>());
    for (auto* port : {&added.peer_port, &added.caller_port, &added.ready_port, &added.announcement_port,
                       &added.admin_port, &added.upstream_port, &added.store_port}) {
        *port = next_port_++;
    }
    added.data_centre = index < options_.hosts_per_data_centre ? "north" : "south";
    added.service = index % 2 == 0 ? "old" : "new";
    added.store_relay = std::make_unique<tcp_relay>(loop_, added.store_port, store_port_);
    added.upstream = std::make_unique<http_server>(
        loop_, http_server_options{.port = added.upstream_port,
                                   .on_request = [&added](const std::shared_ptr<http_exchange>& exchange) {
                                       reply_with_service(exchange, added.service);
                                   }});
    BOOST_REQUIRE(added.upstream->start());
    const nlohmann::json settings{{"host", "127.0.0.1"},
                                  {"peer_port", added.peer_port},
                                  {"data_centre", added.data_centre},
                                  {"region", "here"},
                                  {"caller_listener", local_address(added.caller_port)},
                                  {"ready_listener", local_address(added.ready_port)},
                                  {"announcement_listener", local_address(added.announcement_port)},
                                  {"admin_listener", local_address(added.admin_port)},
                                  {"upstream",
                                   {{"service", added.service},
                                    {"address", local_address(added.upstream_port)},
                                    {"announcement_interval_ms", announcement_interval.count()}}},
                                  {"store", {{"address", local_address(added.store_port)}}}};
    added.settings = directory_ / ("sidecar-" + std::to_string(index) + ".json");
    std::ofstream{added.settings} << settings.dump(2);
}

bool return_cluster::start_all(const std::uint64_t version, const route_plan& plan) {
    write_config(version, plan);
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        auto& target = *hosts_[index];
        start(target);
        for (const auto* route_target : {item_target, added_target}) {
            target.callers.push_back(std::make_unique<route_caller>(
                loop_, route_caller_options{.host = index,
                                            .port = target.caller_port,
                                            .target = route_target,
                                            .on_call = [this, &target](const routed_call& call) {
                                                calls_.push_back(call);
                                                if (call.target == item_target) {
                                                    target.last_item_status = call.status;
                                                }
                                            }}));
        }
    }
    on_interval();
    return wait_for_version(version);
}

void return_cluster::start(host& target) {
    target.process = std::make_unique<child_process>(
        std::vector<std::string>{GOLDCRESTWELL_PROGRAM, "sidecar", "--settings", target.settings},
        std::filesystem::path{target.settings}.replace_extension(".log"));
    target.config_version = 0;
    target.last_item_status = 0;
}

void return_cluster::restart(host& target) {
    // A response of the killed process must not be taken for one of the next process.
    target.status_connection.reset();
    target.process.reset();
    start(target);
}

void return_cluster::cut_from_store(const host& target, const bool cut) {
    target.store_relay->hold(relay_way::to_target, cut);
    target.store_relay->hold(relay_way::to_source, cut);
}

void return_cluster::begin_outage(const store_outage& outage) {
    store_.go_away(outage);
    if (outage.kind == outage_kind::closed) {
        for (const auto& target : hosts_) {
            target->store_relay->reset_open_connections();
        }
    }
}

void return_cluster::write_config(const std::uint64_t version, const route_plan& plan) {
    const auto route = [](const std::string& prefix, const std::string& service) {
        return nlohmann::json{{"host", "shop.example"}, {"path_prefix", prefix},      {"route_kind", "idempotent"},
                              {"timeout_ms", 5'000},    {"target_latency_ms", 2'000}, {"priority", 1},
                              {"service", service},     {"max_attempts", 2}};
    };
    const nlohmann::json service{{"health_path", "/health"}, {"max_connections", 130}};
    nlohmann::json config{{"version", version},
                          {"routes", {{"r-item", route("/item/", plan.item_service)}}},
                          {"services", {{"old", service}, {"new", service}}},
                          {"limits",
                           {{"max_header_bytes", 16'384},
                            {"max_body_bytes", 1'048'576},
                            {"header_timeout_ms", 3'000},
                            {"idle_timeout_ms", 15'000}}}};
    if (plan.has_added_route) {
        config["routes"]["r-added"] = route("/added/", "new");
    }
    store_.put("keyed.op", "config", config.dump());
}

void return_cluster::announce(host& target) {
    const nlohmann::json body{{"service", target.service},
                              {"address", local_address(target.upstream_port)},
                              {"zone", target.data_centre},
                              {"version", "v1"},
                              {"slots", 64},
                              {"state", "ready"},
                              {"cold_left_ms", 0},
                              {"sequence", ++target.sequence},
                              {"born", 1'700'000'000'000}};
    target.announcement = std::make_unique<http_connection>(
        loop_, endpoint{.address = "127.0.0.1", .port = target.announcement_port}, max_response_bytes);
    target.announcement->send({.method = "PUT",
                               .target = "/goldcrestwell/instances/u-" + std::to_string(target.upstream_port),
                               .body = body.dump(),
                               .timeout = std::chrono::seconds{1}},
                              [](const upstream_result&) {});
}

void return_cluster::read_status(host& target) {
    if (target.status_connection != nullptr && !target.status_connection->idle() &&
        !target.status_connection->broken()) {
        return;
    }
    target.status_connection = std::make_unique<http_connection>(
        loop_, endpoint{.address = "127.0.0.1", .port = target.admin_port}, max_response_bytes);
    target.status_connection->send(
        {.target = "/status", .timeout = std::chrono::seconds{2}}, [&target](const upstream_result& result) {
            const auto status = nlohmann::json::parse(result.response.body.str(), nullptr, false);
            if (!status.is_object()) {
                return;
            }
            const auto version = status["config_version"].get<std::uint64_t>();
            target.version_decreases += version < target.config_version ? 1U : 0U;
            target.config_version = version;
        });
}

void return_cluster::on_interval() {
    for (auto& target : hosts_) {
        announce(*target);
        read_status(*target);
    }
    interval_timer_.schedule_after(announcement_interval);
}

bool return_cluster::wait_for_version(const std::uint64_t version) {
    return wait_for([&] {
        return std::ranges::all_of(hosts_, [&](const auto& target) {
            return target->config_version == version && target->last_item_status == status_ok;
        });
    });
}

bool return_cluster::wait_for(const std::function<bool()>& condition) {
    const auto until = now() + wait_timeout;
    while (!condition()) {
        if (now() > until) {
            return false;
        }
        run_for(poll_interval);
    }
    return true;
}

void return_cluster::run_for(const std::chrono::milliseconds duration) {
    run_until(now() + duration);
}

void return_cluster::run_until(const steady_time time) {
    timer end{loop_, [this](time_sample) {
                  loop_.stop();
              }};
    end.schedule_at(time);
    loop_.run();
}

} // namespace goldcrestwell::test
