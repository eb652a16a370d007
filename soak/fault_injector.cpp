#include "soak/fault_injector.hpp"

#include <csignal>

namespace goldcrestwell::soak {

namespace {

using std::chrono::milliseconds;

constexpr const char* operators_topic = "keyed.op";

} // namespace

fault_injector::fault_injector(soak_cluster& cluster, const std::uint64_t seed, const bool planned_only)
    : cluster_{cluster}, random_{seed}, planned_only_{planned_only} {}

int fault_injector::draw(const int last) {
    return std::uniform_int_distribution<int>{0, last}(random_);
}

milliseconds fault_injector::time(const int first, const int last) {
    return milliseconds{std::uniform_int_distribution<int>{first, last}(random_)};
}

fault_injector::host& fault_injector::any_host() {
    auto& hosts = cluster_.hosts();
    return *hosts[static_cast<std::size_t>(draw(static_cast<int>(hosts.size()) - 1))];
}

void fault_injector::note(const std::string& what, const host* where) {
    log_.push_back(where == nullptr ? what : what + " " + std::to_string(where->peer_port));
}

void fault_injector::next() {
    const auto kind = planned_only_ ? 0 : draw(9);
    if (kind <= 2) {
        planned();
        return;
    }
    cluster_.disturb();
    auto& where = any_host();
    if (kind <= 4) {
        fault_of_process(where);
    } else if (kind <= 6) {
        fault_of_path(where);
    } else if (kind <= 8) {
        fault_of_upstream(where);
    } else {
        fault_of_store();
    }
}

void fault_injector::planned() {
    auto& where = any_host();
    switch (draw(3)) {
    case 0:
        note("terminate", &where);
        cluster_.end(where, SIGTERM, time(100, 600));
        return;
    case 1:
        note("reload", &where);
        where.process->send_signal(SIGHUP);
        return;
    case 2:
        note("replace upstream", &where);
        where.upstream->replace();
        return;
    default:
        note("configure");
        cluster_.configure();
        return;
    }
}

void fault_injector::fault_of_process(host& where) {
    if (where.ending) {
        return;
    }
    if (draw(1) == 0) {
        note("kill", &where);
        cluster_.end(where, SIGKILL, time(50, 1'500));
        return;
    }
    note("pause", &where);
    where.paused = true;
    where.process->send_signal(SIGSTOP);
    cluster_.tasks().run(time(200, 3'000), [this, &where] {
        where.process->send_signal(SIGCONT);
        where.paused = false;
        cluster_.disturb();
    });
}

void fault_injector::hold(test::tcp_relay& relay, const std::string& name) {
    const auto way = draw(1) == 0 ? test::relay_way::to_target : test::relay_way::to_source;
    log_.push_back("hold one way " + name);
    relay.hold(way, true);
    cluster_.tasks().run(time(300, 3'000), [this, &relay, way] {
        relay.hold(way, false);
        cluster_.disturb();
    });
}

void fault_injector::fault_of_path(host& where) {
    const auto to_store = draw(1) == 0;
    auto& relay = to_store ? *where.store : *where.path;
    const auto name = (to_store ? "store of " : "upstream of ") + std::to_string(where.peer_port);
    switch (draw(3)) {
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
        relay.set_delay(time(20, 400));
        cluster_.tasks().run(time(500, 3'000), [this, &relay] {
            relay.set_delay({});
            cluster_.disturb();
        });
        return;
    default:
        hold(relay, name);
        return;
    }
}

void fault_injector::fault_of_store() {
    switch (draw(2)) {
    case 0:
        note("store down");
        cluster_.store().set_down(true);
        cluster_.tasks().run(time(500, 3'000), [this] { cluster_.store().set_down(false); });
        return;
    case 1:
        note("store loses answers");
        cluster_.store().lose_append_answers(true);
        cluster_.tasks().run(time(500, 3'000), [this] { cluster_.store().lose_append_answers(false); });
        return;
    default:
        note("store drops its history");
        cluster_.store().compact(operators_topic);
        return;
    }
}

void fault_injector::fault_of_upstream(host& where) {
    upstream_trouble trouble;
    switch (draw(3)) {
    case 0:
        trouble.lose_answer = 0.2;
        break;
    case 1:
        trouble.reject = 0.6;
        break;
    case 2:
        trouble.fail = 0.5;
        break;
    default:
        trouble.slow = time(100, 1'500);
        break;
    }
    note("upstream in trouble", &where);
    where.upstream->set_trouble(trouble);
    cluster_.tasks().run(time(500, 3'000), [this, &where] {
        where.upstream->set_trouble({});
        cluster_.disturb();
    });
}

void fault_injector::heal() {
    cluster_.store().set_down(false);
    cluster_.store().lose_append_answers(false);
    for (auto& where : cluster_.hosts()) {
        where->process->send_signal(SIGCONT);
        where->paused = false;
        where->upstream->set_trouble({});
        for (auto* relay : {where->store.get(), where->path.get()}) {
            relay->set_delay({});
            relay->hold(test::relay_way::to_target, false);
            relay->hold(test::relay_way::to_source, false);
        }
    }
    cluster_.disturb();
}

} // namespace goldcrestwell::soak
