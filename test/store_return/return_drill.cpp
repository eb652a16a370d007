#include "store_return/return_drill.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

namespace goldcrestwell::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The required times: a version is in force two seconds after the write, and the store may be recovering from an outage
// for three seconds after its return.
constexpr seconds recovery_time{3};
constexpr seconds apply_time{2};
constexpr seconds observed_time{3};
constexpr milliseconds write_interval{300};
constexpr std::uint64_t version_step = 10;
constexpr std::array<const char*, 3> history_services{"old", "new", "old"};
constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_not_found = 404;

} // namespace

return_drill::return_drill(const std::uint16_t first_port) : cluster_{{.first_port = first_port}} {
    version_ = version_step;
    BOOST_REQUIRE_MESSAGE(cluster_.start_all(version_, {.item_service = "new"}), "the cluster did not start");
    copy_ = cluster_.store().copy();
}

void return_drill::write(const route_plan& plan) {
    version_ += version_step;
    written_ = cluster_.now();
    cluster_.write_config(version_, plan);
}

void return_drill::write_history() {
    for (const auto* service : history_services) {
        cluster_.run_for(write_interval);
        write({.item_service = service});
    }
    BOOST_REQUIRE_MESSAGE(cluster_.wait_for_version(version_), "a version before the outage was not applied");
}

void return_drill::write_history_again() {
    auto version = version_step;
    for (const auto* service : history_services) {
        version += version_step;
        cluster_.write_config(version, {.item_service = service});
        cluster_.run_for(write_interval);
    }
}

void return_drill::begin_outage(const store_outage& outage) {
    cluster_.begin_outage(outage);
}

void return_drill::come_back_from_copy() {
    BOOST_REQUIRE(cluster_.store().come_back(copy_));
    returned_ = cluster_.now();
}

void return_drill::come_back() {
    BOOST_REQUIRE(cluster_.store().come_back());
    returned_ = cluster_.now();
}

void return_drill::write_next() {
    write({.item_service = "new", .has_added_route = true});
}

void return_drill::write_old() {
    write({.item_service = "old"});
}

void return_drill::check_last_version_in_force() {
    const auto& calls = cluster_.calls();
    const auto is_by_copy = [this](const routed_call& call) {
        return call.started >= returned_ && call.service == "new";
    };
    const auto count = std::ranges::count_if(calls, is_by_copy);
    BOOST_TEST(count == 0, count << " requests ran by the version of the copy");
}

call_counts return_drill::count_calls(const steady_time since) const {
    call_counts counts;
    for (const auto& call : cluster_.calls()) {
        if (call.started < since) {
            continue;
        }
        const auto added = call.target == return_cluster::added_target;
        ++(added ? counts.added_calls : counts.item_calls);
        if (call.status == status_ok && call.service == "new") {
            continue;
        }
        counts.wrong_hosts.insert(call.host);
        if (call.status == status_ok) {
            ++counts.at_wrong_service;
        } else {
            ++(call.status == status_not_found ? counts.refused : counts.failed);
        }
    }
    return counts;
}

void return_drill::check_next_version_in_force() {
    const auto bound = std::max(returned_ + recovery_time, written_) + apply_time;
    cluster_.run_until(bound + observed_time);
    const auto counts = count_calls(bound);
    BOOST_TEST(counts.item_calls > 0U);
    BOOST_TEST(counts.added_calls > 0U);
    BOOST_TEST(counts.at_wrong_service == 0U,
               counts.at_wrong_service << " of " << counts.item_calls << " requests ran at the old service, on "
                                       << counts.wrong_hosts.size() << " of " << cluster_.hosts().size() << " nodes");
    BOOST_TEST(counts.refused == 0U,
               counts.refused << " of " << counts.added_calls << " requests for the added route were refused with 404");
    BOOST_TEST(counts.failed == 0U,
               counts.failed << " of " << counts.item_calls + counts.added_calls << " requests failed otherwise");
    for (const auto& host : cluster_.hosts()) {
        BOOST_TEST(host->version_decreases == 0U, "the configuration version of a node decreased");
        BOOST_TEST(!host->process->exit_status().has_value(), "a node has ended");
    }
}

} // namespace goldcrestwell::test
