#include "soak/fault_series.hpp"

#include <csignal>

namespace goldcrestwell::soak {

namespace {

using std::chrono::milliseconds;

constexpr const char* operators_topic = "keyed.op";

} // namespace

fault_series::fault_series(soak_site& site, const std::uint64_t seed, const bool planned_only)
    : site_{site}, random_{seed}, planned_only_{planned_only} {}

int fault_series::draw(const int last) {
    return std::uniform_int_distribution<int>{0, last}(random_);
}

milliseconds fault_series::time(const int first, const int last) {
    return milliseconds{std::uniform_int_distribution<int>{first, last}(random_)};
}

fault_series::host& fault_series::any_host() {
    auto& hosts = site_.hosts();
    return *hosts[static_cast<std::size_t>(draw(static_cast<int>(hosts.size()) - 1))];
}

void fault_series::note(const std::string& what, const host* where) {
    log_.push_back(where == nullptr ? what : what + " " + std::to_string(where->peer_port));
}

void fault_series::next() {
    const auto kind = planned_only_ ? 0 : draw(9);
    if (kind <= 2) {
        planned();
        return;
    }
    site_.disturb();
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

void fault_series::planned() {
    auto& where = any_host();
    switch (draw(3)) {
    case 0:
        note("terminate", &where);
        site_.end(where, SIGTERM, time(100, 600));
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
        site_.configure();
        return;
    }
}

void fault_series::fault_of_process(host& where) {
    if (where.ending) {
        return;
    }
    if (draw(1) == 0) {
        note("kill", &where);
        site_.end(where, SIGKILL, time(50, 1'500));
        return;
    }
    note("pause", &where);
    where.paused = true;
    where.process->send_signal(SIGSTOP);
    site_.tasks().run(time(200, 3'000), [this, &where] {
        where.process->send_signal(SIGCONT);
        where.paused = false;
        site_.disturb();
    });
}

void fault_series::hold(test::tcp_relay& relay, const std::string& name) {
    const auto way = draw(1) == 0 ? test::relay_way::to_target : test::relay_way::to_source;
    log_.push_back("hold one way " + name);
    relay.hold(way, true);
    site_.tasks().run(time(300, 3'000), [this, &relay, way] {
        relay.hold(way, false);
        site_.disturb();
    });
}

void fault_series::fault_of_path(host& where) {
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
        site_.tasks().run(time(500, 3'000), [this, &relay] {
            relay.set_delay({});
            site_.disturb();
        });
        return;
    default:
        hold(relay, name);
        return;
    }
}

void fault_series::fault_of_store() {
    switch (draw(2)) {
    case 0:
        note("store down");
        site_.store().set_down(true);
        site_.tasks().run(time(500, 3'000), [this] { site_.store().set_down(false); });
        return;
    case 1:
        note("store loses answers");
        site_.store().lose_append_responses(true);
        site_.tasks().run(time(500, 3'000), [this] { site_.store().lose_append_responses(false); });
        return;
    default:
        note("store drops its history");
        site_.store().compact(operators_topic);
        return;
    }
}

void fault_series::fault_of_upstream(host& where) {
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
    site_.tasks().run(time(500, 3'000), [this, &where] {
        where.upstream->set_trouble({});
        site_.disturb();
    });
}

void fault_series::heal() {
    site_.store().set_down(false);
    site_.store().lose_append_responses(false);
    for (auto& where : site_.hosts()) {
        where->process->send_signal(SIGCONT);
        where->paused = false;
        where->upstream->set_trouble({});
        for (auto* relay : {where->store.get(), where->path.get()}) {
            relay->set_delay({});
            relay->hold(test::relay_way::to_target, false);
            relay->hold(test::relay_way::to_source, false);
        }
    }
    site_.disturb();
}

} // namespace goldcrestwell::soak
