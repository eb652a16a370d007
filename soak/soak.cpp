#include "soak/fault_injector.hpp"

#include <boost/test/unit_test.hpp>

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

using namespace goldcrestwell;
using namespace goldcrestwell::soak;

namespace {

constexpr std::chrono::seconds start_limit{20};
constexpr std::chrono::seconds time_of_faults{12};
// The users' bound on recovery.
constexpr std::chrono::seconds recovery_limit{15};
constexpr int planned_only_in = 4;

// Seeds that have failed, each with its cause.
const std::vector<std::uint64_t> regressions{};

/** @return The seeds of CI, or `GOLDCRESTWELL_SEEDS=first:last`. */
std::vector<std::uint64_t> seeds() {
    const auto* text = std::getenv("GOLDCRESTWELL_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    std::vector<std::uint64_t> chosen;
    if (text == nullptr) {
        chosen = {1, 4};
        chosen.insert(chosen.end(), regressions.begin(), regressions.end());
        return chosen;
    }
    const std::string_view range{text};
    std::uint64_t first{};
    std::uint64_t last{};
    const auto colon = range.find(':');
    std::from_chars(range.data(), range.data() + colon, first);
    std::from_chars(range.data() + colon + 1, range.data() + range.size(), last);
    for (auto seed = first; seed <= last; ++seed) {
        chosen.push_back(seed);
    }
    return chosen;
}

void play(const std::uint64_t seed) {
    const auto planned_only = seed % planned_only_in == 0;
    soak_cluster cluster{{.seed = seed}};
    fault_injector faults{cluster, seed, planned_only};
    BOOST_CHECK_MESSAGE(cluster.settled(start_limit), "the site did not start");
    std::mt19937_64 random{seed};
    std::uniform_int_distribution<int> pause{100, planned_only ? 2'000 : 1'200};
    std::chrono::milliseconds played{};
    while (played < time_of_faults) {
        const std::chrono::milliseconds step{pause(random)};
        faults.next();
        cluster.run_for(step);
        played += step;
    }
    faults.heal();
    cluster.configure();
    BOOST_CHECK_MESSAGE(cluster.settled(recovery_limit), "the site did not recover");
    const auto before = cluster.record().answered;
    cluster.run_for(std::chrono::seconds{1});
    BOOST_CHECK_MESSAGE(cluster.record().answered > before, "no call was answered after the recovery");
    cluster.conclude();
    const auto& record = cluster.record();
    std::cout << "seed " << seed << ": " << faults.log().size() << " faults, " << record.calls << " calls, "
              << record.answered << " answered, " << record.denied.size() << " refused as not run, "
              << record.failures.size() << " failures\n";
    for (const auto& failure : record.failures) {
        BOOST_ERROR("seed " << seed << ": " << failure);
    }
    if (!record.failures.empty()) {
        for (const auto& entry : faults.log()) {
            std::cout << "  " << entry << '\n';
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(fault_soak)

// Guards the promises to callers and upstreams of real processes while faults come in series and overlap: one run at
// most, truthful refusals, whole answers to the own request, no work after a drain, no cut during planned work,
// versions that never go back, and recovery.
BOOST_AUTO_TEST_CASE(promises_hold_under_random_faults) {
    for (const auto seed : seeds()) {
        play(seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
