#include "soak/soak_cluster.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace goldcrestwell::soak {

namespace {

constexpr std::chrono::seconds drain_grace_period{3};
constexpr std::chrono::milliseconds announcement_interval{300};
constexpr std::chrono::milliseconds upstream_drain{1'500};
constexpr std::chrono::milliseconds check_interval{200};
constexpr std::chrono::milliseconds write_retry_interval{100};
constexpr std::chrono::milliseconds request_timeout{1'000};
// Requests may be cut off while the effects of a fault last: timeouts, restarts and the gossip about them.
constexpr std::chrono::seconds disturbance_duration{6};
constexpr std::size_t max_status_bytes = 1U << 20U;
constexpr std::uint32_t status_ok = 200;

std::filesystem::path make_directory() {
    auto name = (std::filesystem::temp_directory_path() / "goldcrestwell-soak-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error{"cannot create a temporary folder"};
    }
    return name;
}

/** @brief Returns the port before the first port of a seed; different ranges allow seeds to run at the same time. */
std::uint16_t first_port(const std::uint64_t seed) {
    constexpr std::uint64_t min_port = 10'000;
    constexpr std::uint64_t port_ranges = 200;
    constexpr std::uint64_t ports_per_seed = 50;
    return static_cast<std::uint16_t>(min_port + seed % port_ranges * ports_per_seed);
}

std::string local_address(const std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

soak_cluster::soak_cluster(soak_cluster_options options)
    : options_{options}, directory_{make_directory()}, last_port_{first_port(options.seed)},
      store_port_{allocate_port()}, store_{loop_, store_port_} {
    if (!store_.start()) {
        throw std::runtime_error{"the fake store could not bind its port"};
    }
    publish_config();
    for (std::size_t index = 0; index < options_.hosts; ++index) {
        add_host(index);
    }
}

soak_cluster::~soak_cluster() {
    for (auto& host : hosts_) {
        host->process.reset();
    }
    if (record_.failures.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

void soak_cluster::add_host(const std::size_t index) {
    auto& new_host = *hosts_.emplace_back(std::make_unique<soak_host>());
    for (auto* port : {&new_host.peer_port, &new_host.caller_port, &new_host.ready_port, &new_host.announcement_port,
                       &new_host.admin_port}) {
        *port = allocate_port();
    }
    const auto upstream_port = allocate_port();
    const auto upstream_relay_port = allocate_port();
    const auto store_relay_port = allocate_port();
    new_host.store_relay = std::make_unique<test::tcp_relay>(loop_, store_relay_port, store_port_);
    new_host.upstream_relay = std::make_unique<test::tcp_relay>(loop_, upstream_relay_port, upstream_port);
    new_host.settings = directory_ / ("sidecar-" + std::to_string(index) + ".json");
    const std::string data_centre{index % 2 == 0 ? "north" : "south"};
    const nlohmann::json settings{
        {"host", "127.0.0.1"},
        {"peer_port", new_host.peer_port},
        {"data_centre", data_centre},
        {"region", "here"},
        {"caller_listener", local_address(new_host.caller_port)},
        {"ready_listener", local_address(new_host.ready_port)},
        {"announcement_listener", local_address(new_host.announcement_port)},
        {"admin_listener", local_address(new_host.admin_port)},
        {"upstream",
         {{"service", "orders"},
          {"address", local_address(upstream_relay_port)},
          {"announcement_interval_ms", announcement_interval.count()},
          {"drain_ms", upstream_drain.count()}}},
        {"store", {{"address", local_address(store_relay_port)}, {"timeout_ms", 500}, {"long_poll_ms", 2'000}}},
        {"drain", {{"grace_s", drain_grace_period.count()}}}};
    std::ofstream{new_host.settings} << settings.dump(2);
    start(new_host);
    new_host.upstream =
        std::make_unique<soak_upstream>(loop_, soak_upstream_options{.service = "orders",
                                                                     .data_centre = data_centre,
                                                                     .port = upstream_port,
                                                                     .announced_port = upstream_relay_port,
                                                                     .node_port = new_host.announcement_port,
                                                                     .seed = options_.seed + index,
                                                                     .announcement_interval = announcement_interval,
                                                                     .drain = upstream_drain,
                                                                     .record = &record_});
    for (std::size_t caller = 0; caller < options_.callers_per_host; ++caller) {
        const auto number = std::to_string(index) + "-" + std::to_string(caller);
        new_host.callers.push_back(std::make_unique<soak_caller>(
            loop_, soak_caller_options{.port = new_host.caller_port,
                                       .name = "s" + std::to_string(options_.seed) + "-" + number,
                                       .seed = options_.seed * 100 + index * 10 + caller,
                                       .record = &record_,
                                       .is_undisturbed_since = [this](const steady_time since) {
                                           return is_undisturbed_since(since);
                                       }}));
    }
}

void soak_cluster::start(soak_host& host) {
    host.process = std::make_unique<test::child_process>(
        std::vector<std::string>{GOLDCRESTWELL_PROGRAM, "sidecar", "--settings", host.settings},
        std::filesystem::path{host.settings}.replace_extension(".log"));
    host.terminating = false;
    host.config_version = 0;
}

bool soak_cluster::is_undisturbed_since(const steady_time since) const {
    // Callers send requests to a sidecar even before it is ready for the first time.
    const auto started = std::ranges::all_of(hosts_, [](const auto& host) { return host->config_version > 0; });
    return started && (!last_disturbance_ || *last_disturbance_ + disturbance_duration < since);
}

void soak_cluster::publish_config() {
    ++config_version_;
    write_config();
}

void soak_cluster::write_config() {
    if (store_.away()) {
        tasks_.schedule(write_retry_interval, [this] { write_config(); });
        return;
    }
    const auto route = [](const std::string& path, const std::string& kind) {
        return nlohmann::json{{"host", "shop.example"}, {"path_prefix", path},      {"route_kind", kind},
                              {"timeout_ms", 1'000},    {"target_latency_ms", 500}, {"priority", 1},
                              {"service", "orders"},    {"max_attempts", 2}};
    };
    const nlohmann::json config{
        {"version", config_version_},
        {"routes", {{"r-read", route("/read/", "idempotent")}, {"r-pay", route("/pay/", "non_idempotent")}}},
        {"services", {{"orders", {{"health_path", "/health"}, {"max_connections", 130}}}}},
        {"limits",
         {{"max_header_bytes", 16'384},
          {"max_body_bytes", 1'048'576},
          {"header_timeout_ms", 3'000},
          {"idle_timeout_ms", 15'000}}}};
    store_.put("keyed.op", "config", config.dump());
}

void soak_cluster::restart(soak_host& host, const int signal, const std::chrono::milliseconds delay) {
    if (host.terminating) {
        return;
    }
    host.terminating = true;
    host.process->send_signal(SIGCONT);
    host.paused = false;
    host.process->send_signal(signal);
    const auto restart_process = [this, &host] {
        host.process->send_signal(SIGKILL);
        static_cast<void>(host.process->exit_status());
        start(host);
    };
    tasks_.schedule((signal == SIGTERM ? std::chrono::milliseconds{drain_grace_period} : std::chrono::milliseconds{}) +
                        delay,
                    restart_process);
}

void soak_cluster::run_for(const std::chrono::milliseconds time) {
    const auto until = loop_.now().steady + time;
    while (loop_.now().steady < until) {
        timer step{loop_, [this](time_sample) {
                       loop_.stop();
                   }};
        step.schedule_after(check_interval);
        loop_.run();
        check_sidecars();
    }
}

void soak_cluster::check_sidecars() {
    for (auto& host : hosts_) {
        if (host->terminating || host->paused) {
            continue;
        }
        if (const auto status = host->process->exit_status()) {
            record_.failures.push_back("a sidecar ended unexpectedly with status " + std::to_string(*status));
            start(*host);
            continue;
        }
        check_status(*host);
    }
}

void soak_cluster::check_status(soak_host& host) {
    const auto text = get(host.admin_port, "/status");
    const auto status = nlohmann::json::parse(text.value_or(""), nullptr, false);
    if (!status.is_object()) {
        return;
    }
    const auto version = status["config_version"].get<std::uint64_t>();
    if (version < host.config_version) {
        record_.failures.push_back("the configuration version of a sidecar decreased from " +
                                   std::to_string(host.config_version) + " to " + std::to_string(version));
    }
    host.config_version = version;
    if (status["invariant_violations"].get<std::uint64_t>() != 0) {
        record_.failures.emplace_back("a sidecar reported an invariant violation");
    }
}

std::optional<std::string> soak_cluster::get(const std::uint16_t port, const std::string& target) {
    http_connection connection{loop_, endpoint{.address = "127.0.0.1", .port = port}, max_status_bytes};
    std::optional<upstream_result> received;
    connection.send({.target = target, .timeout = request_timeout}, [this, &received](const upstream_result& result) {
        received = result;
        loop_.stop();
    });
    while (!received) {
        loop_.run();
    }
    const auto found = received->outcome == upstream_outcome::answered && received->response.status == status_ok;
    return found ? std::optional{received->response.body.str()} : std::nullopt;
}

bool soak_cluster::is_ready(const soak_host& host) {
    return get(host.ready_port, "/goldcrestwell/ready").has_value() && host.config_version == config_version_;
}

bool soak_cluster::wait_until_ready(const std::chrono::milliseconds timeout) {
    const auto until = loop_.now().steady + timeout;
    while (!std::ranges::all_of(hosts_, [this](const auto& host) { return is_ready(*host); })) {
        if (loop_.now().steady > until) {
            return false;
        }
        run_for(check_interval);
    }
    return true;
}

void soak_cluster::stop_and_check_runs() {
    const auto callers_idle = [this] {
        return std::ranges::all_of(hosts_, [](const auto& host) {
            return std::ranges::all_of(host->callers, [](const auto& caller) { return caller->idle(); });
        });
    };
    for (auto& host : hosts_) {
        for (auto& caller : host->callers) {
            caller->stop();
        }
    }
    // Refused requests must not run later either, so wait before counting runs.
    do {
        run_for(std::chrono::seconds{2});
    } while (!callers_idle());
    for (const auto& id : record_.non_idempotent) {
        const auto found = record_.runs.find(id);
        const auto runs = found == record_.runs.end() ? 0U : found->second;
        if (runs > 1) {
            record_.failures.push_back("request " + id + " ran " + std::to_string(runs) + " times");
        }
        if (runs > 0 && record_.reported_not_run.contains(id)) {
            record_.failures.push_back("request " + id + " ran, but its response says that it did not");
        }
    }
    if (!record_.failures.empty()) {
        record_.failures.push_back("logs: " + directory_.string());
    }
}

} // namespace goldcrestwell::soak
