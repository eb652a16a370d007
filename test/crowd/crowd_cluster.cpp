#include "crowd/crowd_cluster.hpp"

#include "goldcrestwell/shell/http_headers.hpp"
#include "platform/free_port.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace goldcrestwell::test {

namespace {

constexpr std::chrono::milliseconds announcement_interval{300};
constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::seconds request_timeout{30};
constexpr std::size_t max_response_bytes = std::size_t{128} << 20U;
constexpr std::size_t bytes_per_mb = 1'000'000;
constexpr std::size_t bytes_per_kib = 1'024;

std::filesystem::path make_directory() {
    auto name = (std::filesystem::temp_directory_path() / "goldcrestwell-crowd-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error{"cannot create a temporary folder"};
    }
    return name;
}

std::string local_address(const std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

void reply_signed(const std::shared_ptr<http_exchange>& exchange, std::string body) {
    const auto id = find_header(exchange->headers(), "Goldcrestwell-Request-Id").value_or("");
    exchange->reply({.status = 200,
                     .headers = {{.name = "Goldcrestwell-Request-Id", .value = std::string{id}},
                                 {.name = "Goldcrestwell-Response-Signature", .value = "signed"}},
                     .body = std::move(body)});
}

void reply_with_size(const std::shared_ptr<http_exchange>& exchange) {
    reply_signed(exchange, std::to_string(exchange->body().size()));
}

std::string upload_head(const std::string& id, const std::string& framing) {
    return "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nGoldcrestwell-Request-Id: " + id +
           "\r\nGoldcrestwell-Deadline-Ms: 20000\r\n" + framing + "\r\n\r\n";
}

process_resources resources_of(const child_process& process) {
    process_resources resources;
    const auto folder = std::filesystem::path{"/proc"} / std::to_string(process.id());
    std::ifstream status{folder / "status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            resources.peak_memory_bytes = std::stoul(line.substr(line.find_first_of("0123456789"))) * bytes_per_kib;
        }
    }
    std::error_code gone;
    resources.descriptors =
        static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator{folder / "fd", gone}, {}));
    return resources;
}

crowd_cluster::crowd_cluster(crowd_cluster_options options)
    : options_{options}, directory_{make_directory()}, store_port_{free_port()},
      store_{std::make_unique<fake_store>(loop, store_port_)}, announcement_timer_{loop, [this](time_sample) {
                                                                                       announce_all();
                                                                                   }} {
    BOOST_REQUIRE(store_->start());
    write_config();
    start(front_, "desk");
    start(back_, "orders");
    announce_all();
    BOOST_REQUIRE(wait_for([this] { return is_ready(front_) && is_ready(back_); }));
    BOOST_REQUIRE(wait_for([this] {
        return ordinary_request(front_).response.status == 200U && ordinary_request(back_).response.status == 200U;
    }));
}

crowd_cluster::~crowd_cluster() {
    front_.process.reset();
    back_.process.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void crowd_cluster::start(host& target, const std::string& service) {
    target.service = service;
    for (auto* port : {&target.peer_port, &target.caller_port, &target.ready_port, &target.announcement_port,
                       &target.admin_port, &target.upstream_port}) {
        *port = free_port();
    }
    target.upstream = std::make_unique<http_server>(
        loop, http_server_options{.port = target.upstream_port,
                                  .max_body_bytes = options_.max_body_bytes,
                                  .on_request = [this](const std::shared_ptr<http_exchange>& exchange) {
                                      handler_(exchange);
                                  }});
    BOOST_REQUIRE(target.upstream->start());
    const nlohmann::json settings{{"host", "127.0.0.1"},
                                  {"peer_port", target.peer_port},
                                  {"data_centre", "north"},
                                  {"region", "here"},
                                  {"caller_listener", local_address(target.caller_port)},
                                  {"ready_listener", local_address(target.ready_port)},
                                  {"announcement_listener", local_address(target.announcement_port)},
                                  {"admin_listener", local_address(target.admin_port)},
                                  {"upstream",
                                   {{"service", service},
                                    {"address", local_address(target.upstream_port)},
                                    {"announcement_interval_ms", announcement_interval.count()}}},
                                  {"store", {{"address", local_address(store_port_)}}},
                                  {"limits", {{"memory_mb", options_.memory_mb}, {"max_fds", options_.max_fds}}}};
    const auto path = directory_ / (service + ".json");
    std::ofstream{path} << settings.dump(2);
    target.process =
        std::make_unique<child_process>(std::vector<std::string>{GOLDCRESTWELL_PROGRAM, "sidecar", "--settings", path},
                                        directory_ / (service + ".log"));
}

void crowd_cluster::announce(host& target) {
    const nlohmann::json body{{"service", target.service},
                              {"address", local_address(target.upstream_port)},
                              {"zone", "north"},
                              {"version", "v1"},
                              {"slots", 64},
                              {"state", "ready"},
                              {"cold_left_ms", 0},
                              {"sequence", ++target.sequence},
                              {"born", 1'700'000'000'000}};
    target.announcement = std::make_unique<http_connection>(
        loop, endpoint{.address = "127.0.0.1", .port = target.announcement_port}, bytes_per_kib);
    target.announcement->send({.method = "PUT",
                               .target = "/goldcrestwell/instances/u-" + target.service,
                               .body = body.dump(),
                               .timeout = std::chrono::seconds{1}},
                              [](const upstream_result&) {});
}

void crowd_cluster::announce_all() {
    announce(front_);
    announce(back_);
    announcement_timer_.schedule_after(announcement_interval);
}

void crowd_cluster::write_config() {
    const auto route = [](const std::string& path, const std::string& kind) {
        return nlohmann::json{
            {"host", "shop.example"},      {"path_prefix", path}, {"route_kind", kind},  {"timeout_ms", 20'000},
            {"target_latency_ms", 10'000}, {"priority", 1},       {"service", "orders"}, {"max_attempts", 2}};
    };
    const nlohmann::json config{
        {"version", 1},
        {"routes", {{"r-read", route("/read/", "idempotent")}, {"r-order", route("/order/", "non_idempotent")}}},
        {"services", {{"orders", {{"health_path", "/health"}, {"max_connections", 130}}}}},
        {"limits",
         {{"max_header_bytes", 16'384},
          {"max_body_bytes", options_.max_body_bytes},
          {"header_timeout_ms", 3'000},
          {"idle_timeout_ms", options_.idle_timeout.count()}}}};
    store_->put("keyed.op", "config", config.dump());
}

bool crowd_cluster::is_ready(const host& target) {
    return request(target.ready_port, {.target = "/goldcrestwell/ready"}).response.status == 200U;
}

void crowd_cluster::run_for(const std::chrono::milliseconds duration) {
    timer end{loop, [this](time_sample) {
                  loop.stop();
              }};
    end.schedule_after(duration);
    loop.run();
}

bool crowd_cluster::wait_for(const std::function<bool()>& condition, const std::chrono::seconds timeout) {
    const auto until = loop.now().steady + timeout;
    while (!condition()) {
        if (loop.now().steady > until) {
            return false;
        }
        run_for(poll_interval);
    }
    return true;
}

upstream_result crowd_cluster::request(const std::uint16_t port, const http_client_request& request) {
    http_connection connection{loop, endpoint{.address = "127.0.0.1", .port = port}, max_response_bytes};
    std::optional<upstream_result> received;
    connection.send(request, [&received](const upstream_result& result) { received = result; });
    static_cast<void>(wait_for([&received] { return received.has_value(); }));
    return received.value_or(upstream_result{});
}

upstream_result crowd_cluster::ordinary_request(const host& target) {
    const auto id = "ordinary-" + std::to_string(++request_count_);
    return request(target.caller_port, {.method = "POST",
                                        .target = "/order/2",
                                        .headers = {{.name = "Host", .value = "shop.example"},
                                                    {.name = "Goldcrestwell-Request-Id", .value = id},
                                                    {.name = "Goldcrestwell-Deadline-Ms", .value = "20000"}},
                                        .body = std::string(1'200, 'o'),
                                        .timeout = request_timeout});
}

std::vector<std::unique_ptr<raw_client>> crowd_cluster::connect(const std::uint16_t port, const std::size_t count) {
    std::vector<std::unique_ptr<raw_client>> clients;
    clients.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        clients.push_back(std::make_unique<raw_client>(loop, port));
    }
    return clients;
}

void crowd_cluster::wait_until_sent(const std::vector<std::unique_ptr<raw_client>>& clients) {
    const auto sent = [&clients] {
        return std::ranges::all_of(clients, [](const auto& client) {
            return client->closed() || client->status() != 0 || client->unwritten_bytes() == 0;
        });
    };
    BOOST_TEST(wait_for(sent), "a client could neither send its bytes nor got a response");
}

void crowd_cluster::check_survival() {
    for (auto* target : {&front_, &back_}) {
        BOOST_TEST_CONTEXT("host " << target->service) {
            BOOST_TEST(!target->process->exit_status().has_value(), "the process has ended");
            const auto used = resources_of(*target->process);
            BOOST_TEST(used.peak_memory_bytes <= options_.memory_mb * bytes_per_mb);
            BOOST_TEST(used.descriptors <= options_.max_fds);
            const auto result = ordinary_request(*target);
            BOOST_TEST(result.response.status == 200U);
            BOOST_TEST(result.response.body == "1200");
        }
    }
}

} // namespace goldcrestwell::test
