#include "platform/site.hpp"

#include "goldcrestwell/cli/process_options.hpp"
#include "goldcrestwell/shell/http_headers.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "platform/free_port.hpp"

#include <nlohmann/json.hpp>

namespace goldcrestwell::test {

namespace {

constexpr std::uint32_t loopback = 0x7F000001;
constexpr std::chrono::milliseconds step{20};
constexpr std::chrono::seconds give_up_after{10};

node_id local() {
    return {loopback, free_port()};
}

} // namespace

site::site() : store_port{free_port()}, store{loop, store_port} {
    static_cast<void>(store.start());
}

site::host& site::add_host(const std::string& service) {
    auto& added = *hosts.emplace_back(std::make_unique<host>());
    added.settings = {.self = local(),
                      .data_centre = {"north"},
                      .region = {"here"},
                      .caller_listener = local(),
                      .ready_listener = local(),
                      .announcement_listener = local(),
                      .admin_listener = local(),
                      .upstream_service = {service},
                      .upstream_address = local(),
                      .store = {loopback, store_port},
                      .store_timeout = std::chrono::milliseconds{500}};
    added.upstream_id = "u-" + std::to_string(hosts.size());
    added.answer = [&added](const std::shared_ptr<http_exchange>& exchange) {
        const auto id = find_header(exchange->headers(), "Goldcrestwell-Request-Id").value_or("");
        exchange->reply({.status = 200,
                         .headers = {{.name = "Goldcrestwell-Request-Id", .value = std::string{id}},
                                     {.name = "Goldcrestwell-Response-Signature", .value = added.upstream_id}},
                         .body = "hello"});
    };
    added.upstream = std::make_unique<http_server>(
        loop, http_server_options{.port = added.settings.upstream_address.port(),
                                  .on_request = [&added](const std::shared_ptr<http_exchange>& exchange) {
                                      ++added.runs;
                                      added.answer(exchange);
                                  }});
    static_cast<void>(added.upstream->start());
    start(added);
    return added;
}

void site::start(host& where) {
    where.process.reset();
    where.process = std::make_unique<sidecar>(
        loop, where.settings, to_process_options(where.settings, loop.now().wall, where.settings.self.value()));
    static_cast<void>(where.process->start());
}

std::uint32_t site::announce(host& where, const std::string& state) {
    const nlohmann::json body{{"service", where.settings.upstream_service.value},
                              {"address", to_string(where.settings.upstream_address)},
                              {"zone", "north"},
                              {"version", where.version},
                              {"slots", 4},
                              {"state", state},
                              {"cold_left_ms", 0},
                              {"sequence", ++where.sequence},
                              {"born", 1'700'000'000'000}};
    return send(to_endpoint(where.settings.announcement_listener),
                {.method = "PUT", .target = "/goldcrestwell/instances/" + where.upstream_id, .body = body.dump()})
        .response.status;
}

std::uint32_t site::ready(const host& where) {
    return send(to_endpoint(where.settings.ready_listener), {.target = "/goldcrestwell/ready"}).response.status;
}

std::string site::status(const host& where) {
    return send(to_endpoint(where.settings.admin_listener), {.target = "/status"}).response.body;
}

upstream_result site::call(const host& where, const std::string& method, const std::string& target,
                           const std::string& id, const std::chrono::milliseconds deadline) {
    return send(to_endpoint(where.settings.caller_listener),
                {.method = method,
                 .target = target,
                 .headers = {{.name = "Host", .value = "Shop.example:80"},
                             {.name = "Goldcrestwell-Request-Id", .value = id},
                             {.name = "Goldcrestwell-Caller-Service", .value = "forged"},
                             {.name = "Goldcrestwell-Deadline-Ms", .value = std::to_string(deadline.count())}},
                 .timeout = deadline + std::chrono::seconds{2}});
}

upstream_result site::send(const endpoint& to, const http_client_request& request) {
    http_connection connection{loop, to, std::size_t{1} << 20U};
    std::optional<upstream_result> received;
    connection.send(request, [&received](const upstream_result& result) { received = result; });
    static_cast<void>(wait_for([&received] { return received.has_value(); }));
    return received.value_or(upstream_result{});
}

bool site::wait_for(const std::function<bool()>& condition) {
    const auto until = loop.now().steady + give_up_after;
    while (!condition()) {
        if (loop.now().steady > until) {
            return false;
        }
        run_for(step);
    }
    return true;
}

void site::run_for(const std::chrono::milliseconds time) {
    timer end{loop, [this](time_sample) {
                  loop.stop();
              }};
    end.arm_after(time);
    loop.run();
}

void site::configure(const std::uint64_t version, const std::string& service, const std::string& prefix) {
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
          {"max_body_bytes", 1'048'576},
          {"header_timeout_ms", 3'000},
          {"idle_timeout_ms", 15'000}}}};
    store.put("keyed.op", "config", config.dump());
}

} // namespace goldcrestwell::test
