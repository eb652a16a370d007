#include "system/call_checks.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <numeric>

namespace goldcrestwell::test {

namespace {

constexpr std::chrono::seconds short_load_duration{1};

} // namespace

void check_calls(test_cluster& cluster, const call_load& load) {
    const auto runs = cluster.runs();
    std::map<std::pair<call_ending, std::string>, std::size_t> endings;
    for (const auto& record : load.records()) {
        ++endings[{record.ending(), record.reason()}];
    }
    for (const auto& [ending, calls] : endings) {
        BOOST_TEST_MESSAGE("calls: " << calls << ' ' << ending.first << ' ' << ending.second);
    }
    for (const auto& [id, run_count] : runs) {
        BOOST_CHECK_MESSAGE(run_count == 1, id << " was run " << run_count << " times");
    }
    for (const auto& record : load.records()) {
        BOOST_CHECK_MESSAGE(record.ending() != call_ending::wrong_answer, record);
        BOOST_CHECK_MESSAGE(record.ending() != call_ending::not_run || !runs.contains(record.id),
                            "run in spite of the refusal: " << record);
        BOOST_CHECK_MESSAGE(record.ending() != call_ending::answered || runs.contains(record.id),
                            "answered without a run: " << record);
    }
}

void check_all_answered(test_cluster& cluster, const std::vector<std::size_t>& nodes) {
    call_load load{cluster.loop(), {.ports = cluster.caller_ports(nodes)}};
    cluster.loop().run_for(short_load_duration);
    BOOST_TEST(load.finish());
    BOOST_TEST(!load.records().empty());
    for (const auto& record : load.records()) {
        BOOST_CHECK_MESSAGE(record.ending() == call_ending::answered, record);
    }
}

bool apply_everywhere(test_cluster& cluster, const std::string& rows) {
    const auto result = cluster.apply(0, rows);
    BOOST_TEST_INFO(result.output);
    BOOST_TEST(result.code.value_or(-1) == 0);
    std::vector<std::size_t> all(cluster.size());
    std::iota(all.begin(), all.end(), std::size_t{});
    return cluster.loop().wait_until([&] { return cluster.in_force(offset_of(result), all); });
}

} // namespace goldcrestwell::test
