#include "platform/sidecar_cluster.hpp"

#include "goldcrestwell/cli/process_options.hpp"
#include "goldcrestwell/shell/http_headers.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "platform/free_port.hpp"

#include <nlohmann/json.hpp>

namespace goldcrestwell::test {

namespace {

constexpr std::uint32_t loopback = 0x7F000001;
constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::seconds wait_timeout{10};

node_id free_loopback_address() {
    return {loopback, free_port()};
}

} // namespace

sidecar_cluster::sidecar_cluster() : store_port{free_port()}, store{loop, store_port} {
    static_cast<void>(store.start());
}

sidecar_cluster::host& sidecar_cluster::add_host(const std::string& service) {
    auto& added = *hosts.emplace_back(std::make_unique<host>());
    added.settings = {.self = free_loopback_address(),
                      .data_centre = {"north"},
                      .region = {"here"},
                      .caller_listener = free_loopback_address(),
                      .ready_listener = free_loopback_address(),
                      .announcement_listener = free_loopback_address(),
                      .admin_listener = free_loopback_address(),
                      .upstream_service = {service},
                      .upstream_address = free_loopback_address(),
                      .store = {loopback, store_port},
                      .store_timeout = std::chrono::milliseconds{500}};
    added.upstream_id = "u-" + std::to_string(hosts.size());
    added.handle_request = [&added](const std::shared_ptr<http_exchange>& exchange) {
        const auto id = find_header(exchange->headers(), "Goldcrestwell-Request-Id").value_or("");
        exchange->reply({.status = 200,
                         .headers = {{.name = "Goldcrestwell-Request-Id", .value = std::string{id}},
                                     {.name = "Goldcrestwell-Response-Signature", .value = added.upstream_id}},
                         .body = "hello"});
    };
    added.upstream = std::make_unique<http_server>(
        loop, http_server_options{.port = added.settings.upstream_address.port(),
                                  .on_request = [&added](const std::shared_ptr<http_exchange>& exchange) {
                                      ++added.run_count;
                                      added.handle_request(exchange);
                                  }});
    static_cast<void>(added.upstream->start());
    start(added);
    return added;
}

void sidecar_cluster::start(host& target_host) {
    target_host.sidecar_process.reset();
    target_host.sidecar_process = std::make_unique<sidecar>(
        loop, target_host.settings,
        to_process_options(target_host.settings, loop.now().wall, target_host.settings.self.value()));
    static_cast<void>(target_host.sidecar_process->start());
}

std::uint32_t sidecar_cluster::announce(host& target_host, const std::string& state,
                                        const std::function<void(nlohmann::json& body)>& change) {
    nlohmann::json body{{"service", target_host.settings.upstream_service.value},
                        {"address", to_string(target_host.settings.upstream_address)},
                        {"zone", "north"},
                        {"version", target_host.version},
                        {"slots", 4},
                        {"state", state},
                        {"cold_left_ms", 0},
                        {"sequence", ++target_host.sequence},
                        {"born", target_host.born}};
    if (change) {
        change(body);
    }
    return send(to_endpoint(target_host.settings.announcement_listener),
                {.method = "PUT", .target = "/goldcrestwell/instances/" + target_host.upstream_id, .body = body.dump()})
        .response.status;
}

std::uint32_t sidecar_cluster::withdraw(const host& target_host) {
    return send(to_endpoint(target_host.settings.announcement_listener),
                {.method = "DELETE", .target = "/goldcrestwell/instances/" + target_host.upstream_id})
        .response.status;
}

std::uint32_t sidecar_cluster::ready(const host& target_host) {
    return send(to_endpoint(target_host.settings.ready_listener), {.target = "/goldcrestwell/ready"}).response.status;
}

std::string sidecar_cluster::status(const host& target_host) {
    return send(to_endpoint(target_host.settings.admin_listener), {.target = "/status"}).response.body.str();
}

std::string sidecar_cluster::metrics(const host& target_host) {
    return send(to_endpoint(target_host.settings.admin_listener), {.target = "/metrics"}).response.body.str();
}

upstream_result sidecar_cluster::call(const host& target_host, const std::string& method, const std::string& target,
                                      const std::string& id, const std::chrono::milliseconds deadline) {
    return send(to_endpoint(target_host.settings.caller_listener),
                {.method = method,
                 .target = target,
                 .headers = {{.name = "Host", .value = "Shop.example:80"},
                             {.name = "Goldcrestwell-Request-Id", .value = id},
                             {.name = "Goldcrestwell-Caller-Service", .value = "forged"},
                             {.name = "Goldcrestwell-Deadline-Ms", .value = std::to_string(deadline.count())}},
                 .timeout = deadline + std::chrono::seconds{2}});
}

upstream_result sidecar_cluster::upload(const host& target_host, const std::string& target, const std::string& id,
                                        const std::string& body) {
    return send(to_endpoint(target_host.settings.caller_listener),
                {.method = "POST",
                 .target = target,
                 .headers = {{.name = "Host", .value = "shop.example"},
                             {.name = "Goldcrestwell-Request-Id", .value = id},
                             {.name = "Goldcrestwell-Deadline-Ms", .value = "2000"}},
                 .body = body,
                 .timeout = std::chrono::seconds{4}});
}

upstream_result sidecar_cluster::send(const endpoint& server, const http_client_request& request) {
    http_connection connection{loop, server, std::size_t{1} << 20U};
    std::optional<upstream_result> received;
    connection.send(request, [&received](const upstream_result& result) { received = result; });
    static_cast<void>(wait_for([&received] { return received.has_value(); }));
    return received.value_or(upstream_result{});
}

bool sidecar_cluster::wait_for(const std::function<bool()>& condition) {
    const auto deadline = loop.now().steady + wait_timeout;
    while (!condition()) {
        if (loop.now().steady > deadline) {
            return false;
        }
        run_for(poll_interval);
    }
    return true;
}

void sidecar_cluster::run_for(const std::chrono::milliseconds duration) {
    timer stop_timer{loop, [this](time_sample) {
                         loop.stop();
                     }};
    stop_timer.schedule_after(duration);
    loop.run();
}

void sidecar_cluster::write_config(const std::uint64_t version, const std::string& service, const std::string& prefix,
                                   const std::size_t max_body_bytes) {
    const auto route = [&service](const std::string& path, const std::string& kind) {
        return nlohmann::json{{"host", "shop.example"}, {"path_prefix", path},      {"route_kind", kind},
                              {"timeout_ms", 1'000},    {"target_latency_ms", 500}, {"priority", 1},
                              {"service", service},     {"max_attempts", 2}};
    };
    const nlohmann::json config{
        {"version", version},
        {"routes", {{"r-read", route(prefix, "idempotent")}, {"r-pay", route("/pay/", "non_idempotent")}}},
        {"services", {{service, {{"health_path", "/health"}, {"max_connections", 130}}}}},
        {"limits",
         {{"max_header_bytes", 16'384},
          {"max_body_bytes", max_body_bytes},
          {"header_timeout_ms", 3'000},
          {"idle_timeout_ms", 15'000}}}};
    store.put("keyed.op", "config", config.dump());
}

} // namespace goldcrestwell::test
