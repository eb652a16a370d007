#include "soak/soak_site.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace goldcrestwell::soak {

namespace {

constexpr std::chrono::seconds shutdown_timeout{3};
constexpr std::chrono::milliseconds heartbeat{300};
constexpr std::chrono::milliseconds upstream_drain{1'500};
constexpr std::chrono::milliseconds watch_interval{200};
constexpr std::chrono::milliseconds request_timeout{1'000};
// A fault excuses cut requests while its effects last: time-outs, restarts and the news about them.
constexpr std::chrono::seconds effect_of_a_fault{6};
constexpr std::size_t status_bytes = 1U << 20U;
constexpr std::uint32_t status_ok = 200;

std::filesystem::path make_folder() {
    auto name = (std::filesystem::temp_directory_path() / "goldcrestwell-soak-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error{"cannot create a temporary folder"};
    }
    return name;
}

/** @return The port before the first one of a seed, so that seeds may be played at the same time. */
std::uint16_t first_port(const std::uint64_t seed) {
    constexpr std::uint64_t lowest = 10'000;
    constexpr std::uint64_t seeds = 200;
    constexpr std::uint64_t ports_of_a_seed = 50;
    return static_cast<std::uint16_t>(lowest + seed % seeds * ports_of_a_seed);
}

std::string local(const std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

soak_site::soak_site(soak_site_options options)
    : options_{options}, folder_{make_folder()}, last_port_{first_port(options.seed)},
      store_port_{next_port()}, store_{loop_, store_port_} {
    if (!store_.start()) {
        throw std::runtime_error{"the store could not bind its port"};
    }
    configure();
    for (std::size_t index = 0; index < options_.hosts; ++index) {
        add_host(index);
    }
}

soak_site::~soak_site() {
    for (auto& where : hosts_) {
        where->process.reset();
    }
    if (record_.failures.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

void soak_site::add_host(const std::size_t index) {
    auto& added = *hosts_.emplace_back(std::make_unique<host>());
    for (auto* port :
         {&added.peer_port, &added.caller_port, &added.ready_port, &added.announcement_port, &added.admin_port}) {
        *port = next_port();
    }
    const auto upstream_port = next_port();
    const auto path_port = next_port();
    const auto relay_port = next_port();
    added.store = std::make_unique<test::tcp_relay>(loop_, relay_port, store_port_);
    added.path = std::make_unique<test::tcp_relay>(loop_, path_port, upstream_port);
    added.settings = folder_ / ("sidecar-" + std::to_string(index) + ".json");
    const nlohmann::json settings{
        {"host", "127.0.0.1"},
        {"peer_port", added.peer_port},
        {"data_centre", index % 2 == 0 ? "north" : "south"},
        {"region", "here"},
        {"caller_listener", local(added.caller_port)},
        {"ready_listener", local(added.ready_port)},
        {"announcement_listener", local(added.announcement_port)},
        {"admin_listener", local(added.admin_port)},
        {"upstream",
         {{"service", "orders"},
          {"address", local(path_port)},
          {"announcement_interval_ms", heartbeat.count()},
          {"drain_ms", upstream_drain.count()}}},
        {"store", {{"address", local(relay_port)}, {"timeout_ms", 500}, {"long_poll_ms", 2'000}}},
        {"drain", {{"grace_s", shutdown_timeout.count()}}}};
    std::ofstream{added.settings} << settings.dump(2);
    start(added);
    added.upstream = std::make_unique<soak_upstream>(loop_, soak_upstream_options{.service = "orders",
                                                                                  .port = upstream_port,
                                                                                  .announced_port = path_port,
                                                                                  .node_port = added.announcement_port,
                                                                                  .seed = options_.seed + index,
                                                                                  .heartbeat = heartbeat,
                                                                                  .drain = upstream_drain,
                                                                                  .record = &record_});
    for (std::size_t caller = 0; caller < options_.callers_per_host; ++caller) {
        const auto number = std::to_string(index) + "-" + std::to_string(caller);
        added.callers.push_back(std::make_unique<soak_caller>(
            loop_, soak_caller_options{.port = added.caller_port,
                                       .name = "s" + std::to_string(options_.seed) + "-" + number,
                                       .seed = options_.seed * 100 + index * 10 + caller,
                                       .record = &record_,
                                       .calm = [this](const steady_time since) {
                                           return calm(since);
                                       }}));
    }
}

void soak_site::start(host& where) {
    where.process = std::make_unique<test::child_process>(
        std::vector<std::string>{GOLDCRESTWELL_PROGRAM, "sidecar", "--settings", where.settings},
        std::filesystem::path{where.settings}.replace_extension(".log"));
    where.ending = false;
    where.version = 0;
}

bool soak_site::calm(const steady_time since) const {
    // Callers have not turned away from a sidecar before it is ready for the first time.
    const auto started = std::ranges::all_of(hosts_, [](const auto& where) { return where->version > 0; });
    return started && (!disturbed_ || *disturbed_ + effect_of_a_fault < since);
}

void soak_site::configure() {
    const auto route = [](const std::string& path, const std::string& kind) {
        return nlohmann::json{{"host", "shop.example"}, {"path_prefix", path},      {"route_kind", kind},
                              {"timeout_ms", 1'000},    {"target_latency_ms", 500}, {"priority", 1},
                              {"service", "orders"},    {"max_attempts", 2}};
    };
    const nlohmann::json config{
        {"version", ++version_},
        {"routes", {{"r-read", route("/read/", "idempotent")}, {"r-pay", route("/pay/", "non_idempotent")}}},
        {"services", {{"orders", {{"health_path", "/health"}, {"max_connections", 130}}}}},
        {"limits",
         {{"max_header_bytes", 16'384},
          {"max_body_bytes", 1'048'576},
          {"header_timeout_ms", 3'000},
          {"idle_timeout_ms", 15'000}}}};
    store_.put("keyed.op", "config", config.dump());
}

void soak_site::end(host& where, const int signal, const std::chrono::milliseconds pause) {
    if (where.ending) {
        return;
    }
    where.ending = true;
    where.process->send_signal(SIGCONT);
    where.paused = false;
    where.process->send_signal(signal);
    const auto again = [this, &where] {
        where.process->send_signal(SIGKILL);
        static_cast<void>(where.process->exit_status());
        start(where);
    };
    tasks_.run((signal == SIGTERM ? std::chrono::milliseconds{shutdown_timeout} : std::chrono::milliseconds{}) + pause,
               again);
}

void soak_site::run_for(const std::chrono::milliseconds time) {
    const auto until = loop_.now().steady + time;
    while (loop_.now().steady < until) {
        timer step{loop_, [this](time_sample) {
                       loop_.stop();
                   }};
        step.schedule_after(watch_interval);
        loop_.run();
        watch();
    }
}

void soak_site::watch() {
    for (auto& where : hosts_) {
        if (where->ending || where->paused) {
            continue;
        }
        if (const auto status = where->process->exit_status()) {
            record_.failures.push_back("a sidecar ended by itself with status " + std::to_string(*status));
            start(*where);
            continue;
        }
        check_status(*where);
    }
}

void soak_site::check_status(host& where) {
    const auto text = get(where.admin_port, "/status");
    const auto status = nlohmann::json::parse(text.value_or(""), nullptr, false);
    if (!status.is_object()) {
        return;
    }
    const auto version = status["config_version"].get<std::uint64_t>();
    if (version < where.version) {
        record_.failures.push_back("a sidecar went back from version " + std::to_string(where.version) + " to " +
                                   std::to_string(version));
    }
    where.version = version;
    if (status["invariant_violations"].get<std::uint64_t>() != 0) {
        record_.failures.emplace_back("a sidecar reports a violated invariant");
    }
}

std::optional<std::string> soak_site::get(const std::uint16_t port, const std::string& target) {
    http_connection connection{loop_, endpoint{.address = "127.0.0.1", .port = port}, status_bytes};
    std::optional<upstream_result> received;
    connection.send({.target = target, .timeout = request_timeout}, [this, &received](const upstream_result& result) {
        received = result;
        loop_.stop();
    });
    while (!received) {
        loop_.run();
    }
    const auto found = received->outcome == upstream_outcome::answered && received->response.status == status_ok;
    return found ? std::optional{received->response.body} : std::nullopt;
}

bool soak_site::ready(const host& where) {
    return get(where.ready_port, "/goldcrestwell/ready").has_value() && where.version == version_;
}

bool soak_site::settled(const std::chrono::milliseconds limit) {
    const auto until = loop_.now().steady + limit;
    while (!std::ranges::all_of(hosts_, [this](const auto& where) { return ready(*where); })) {
        if (loop_.now().steady > until) {
            return false;
        }
        run_for(watch_interval);
    }
    return true;
}

void soak_site::conclude() {
    const auto callers_idle = [this] {
        return std::ranges::all_of(hosts_, [](const auto& where) {
            return std::ranges::all_of(where->callers, [](const auto& caller) { return caller->idle(); });
        });
    };
    for (auto& where : hosts_) {
        for (auto& caller : where->callers) {
            caller->stop();
        }
    }
    // Requests that were refused must not run later either.
    do {
        run_for(std::chrono::seconds{2});
    } while (!callers_idle());
    for (const auto& id : record_.single) {
        const auto found = record_.runs.find(id);
        const auto runs = found == record_.runs.end() ? 0U : found->second;
        if (runs > 1) {
            record_.failures.push_back("request " + id + " ran " + std::to_string(runs) + " times");
        }
        if (runs > 0 && record_.denied.contains(id)) {
            record_.failures.push_back("request " + id + " ran, but its answer says that it did not");
        }
    }
    if (!record_.failures.empty()) {
        record_.failures.push_back("logs: " + folder_.string());
    }
}

} // namespace goldcrestwell::soak
