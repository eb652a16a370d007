#include "soak/fault_injector.hpp"

#include <csignal>

namespace goldcrestwell::soak {

namespace {

using std::chrono::milliseconds;

constexpr const char* operators_topic = "keyed.op";
constexpr std::size_t max_copies = 6;

} // namespace

fault_injector::fault_injector(soak_cluster& cluster, const fault_injector_options& options)
    : cluster_{cluster}, options_{options}, random_{options.seed} {}

int fault_injector::random_int(const int max) {
    return std::uniform_int_distribution<int>{0, max}(random_);
}

milliseconds fault_injector::random_duration(const int min_ms, const int max_ms) {
    return milliseconds{std::uniform_int_distribution<int>{min_ms, max_ms}(random_)};
}

fault_injector::soak_host& fault_injector::random_host() {
    auto& hosts = cluster_.hosts();
    return *hosts[static_cast<std::size_t>(random_int(static_cast<int>(hosts.size()) - 1))];
}

void fault_injector::record_fault(const std::string& description, const soak_host* host) {
    log_.push_back(host == nullptr ? description : description + " " + std::to_string(host->peer_port));
}

void fault_injector::inject_fault() {
    copies_.push_back(cluster_.store().copy());
    if (copies_.size() > max_copies) {
        copies_.pop_front();
    }
    if (options_.store_returns) {
        // A series of versions, so that a return loses several.
        cluster_.publish_config();
    }
    const auto kind = options_.planned_only ? 0 : random_int(options_.store_returns ? 11 : 9);
    if (kind <= 2) {
        inject_planned_work();
        return;
    }
    cluster_.record_disturbance();
    auto& host = random_host();
    if (kind <= 4) {
        inject_process_fault(host);
    } else if (kind <= 6) {
        inject_network_fault(host);
    } else if (kind <= 8) {
        inject_upstream_fault(host);
    } else if (kind == 9) {
        inject_store_fault();
    } else {
        inject_store_return();
    }
}

void fault_injector::inject_planned_work() {
    auto& host = random_host();
    switch (random_int(3)) {
    case 0:
        record_fault("terminate", &host);
        cluster_.restart(host, SIGTERM, random_duration(100, 600));
        return;
    case 1:
        record_fault("reload", &host);
        host.process->send_signal(SIGHUP);
        return;
    case 2:
        record_fault("replace upstream", &host);
        host.upstream->replace();
        return;
    default:
        record_fault("configure");
        cluster_.publish_config();
        return;
    }
}

void fault_injector::inject_process_fault(soak_host& host) {
    if (host.terminating) {
        return;
    }
    if (random_int(1) == 0) {
        record_fault("kill", &host);
        cluster_.restart(host, SIGKILL, random_duration(50, 1'500));
        return;
    }
    record_fault("pause", &host);
    host.paused = true;
    host.process->send_signal(SIGSTOP);
    cluster_.tasks().schedule(random_duration(200, 3'000), [this, &host] {
        host.process->send_signal(SIGCONT);
        host.paused = false;
        cluster_.record_disturbance();
    });
}

void fault_injector::inject_one_way_hold(test::tcp_relay& relay, const std::string& name) {
    const auto direction = random_int(1) == 0 ? test::relay_way::to_target : test::relay_way::to_source;
    log_.push_back("hold one direction " + name);
    relay.hold(direction, true);
    cluster_.tasks().schedule(random_duration(300, 3'000), [this, &relay, direction] {
        relay.hold(direction, false);
        cluster_.record_disturbance();
    });
}

void fault_injector::inject_network_fault(soak_host& host) {
    const auto to_store = random_int(1) == 0;
    auto& relay = to_store ? *host.store_relay : *host.upstream_relay;
    const auto name = (to_store ? "store of " : "upstream of ") + std::to_string(host.peer_port);
    switch (random_int(3)) {
    case 0:
        log_.push_back("reset " + name);
        relay.reset_open_connections();
        return;
    case 1:
        log_.push_back("silence " + name);
        relay.silence_open_connections();
        return;
    case 2:
        log_.push_back("delay " + name);
        relay.set_delay(random_duration(20, 400));
        cluster_.tasks().schedule(random_duration(500, 3'000), [this, &relay] {
            relay.set_delay({});
            cluster_.record_disturbance();
        });
        return;
    default:
        inject_one_way_hold(relay, name);
        return;
    }
}

void fault_injector::inject_store_fault() {
    switch (random_int(2)) {
    case 0:
        record_fault("store down");
        cluster_.store().set_down(true);
        cluster_.tasks().schedule(random_duration(500, 3'000), [this] { cluster_.store().set_down(false); });
        return;
    case 1:
        record_fault("store loses append responses");
        cluster_.store().lose_append_responses(true);
        cluster_.tasks().schedule(random_duration(500, 3'000),
                                  [this] { cluster_.store().lose_append_responses(false); });
        return;
    default:
        record_fault("store compacts its log");
        cluster_.store().compact(operators_topic);
        return;
    }
}

void fault_injector::inject_store_return() {
    if (cluster_.store().away()) {
        return;
    }
    record_fault("store returns from a copy");
    const auto silent = random_int(1) == 0;
    cluster_.store().go_away({.kind = silent ? test::outage_kind::silent : test::outage_kind::closed,
                              .keeps_long_polls = silent && random_int(1) == 0});
    const auto copy = copies_[static_cast<std::size_t>(random_int(static_cast<int>(copies_.size()) - 1))];
    cluster_.tasks().schedule(random_duration(200, 2'000), [this, copy] { end_store_outage(copy); });
}

void fault_injector::end_store_outage(const test::store_copy& copy) {
    if (!cluster_.store().away()) {
        return;
    }
    if (!cluster_.store().come_back(copy)) {
        cluster_.record().failures.emplace_back("the store could not bind its port again");
    }
    cluster_.record_disturbance();
    const auto writes_on = random_int(1) == 0;
    cluster_.tasks().schedule(random_duration(0, 3'000), [this, writes_on] {
        if (writes_on) {
            cluster_.publish_config();
        } else {
            cluster_.write_config();
        }
    });
}

void fault_injector::inject_upstream_fault(soak_host& host) {
    upstream_faults faults;
    switch (random_int(3)) {
    case 0:
        faults.lost_response_probability = 0.2;
        break;
    case 1:
        faults.rejection_probability = 0.6;
        break;
    case 2:
        faults.failure_probability = 0.5;
        break;
    default:
        faults.added_delay = random_duration(100, 1'500);
        break;
    }
    record_fault("upstream faults", &host);
    host.upstream->set_faults(faults);
    cluster_.tasks().schedule(random_duration(500, 3'000), [this, &host] {
        host.upstream->set_faults({});
        cluster_.record_disturbance();
    });
}

void fault_injector::clear_faults() {
    cluster_.store().set_down(false);
    cluster_.store().lose_append_responses(false);
    if (options_.store_returns) {
        cluster_.store().go_away({});
        end_store_outage(copies_.front());
    }
    for (auto& host : cluster_.hosts()) {
        host->process->send_signal(SIGCONT);
        host->paused = false;
        host->upstream->set_faults({});
        for (auto* relay : {host->store_relay.get(), host->upstream_relay.get()}) {
            relay->set_delay({});
            relay->hold(test::relay_way::to_target, false);
            relay->hold(test::relay_way::to_source, false);
        }
    }
    cluster_.record_disturbance();
}

} // namespace goldcrestwell::soak
