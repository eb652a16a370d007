#include "core/rollout/engine_fixture.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

using namespace goldcrestwell;
using namespace goldcrestwell::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t calls_per_second = 40;
constexpr share half{500'000};

/** A rollout at its last stage; each version gets only the calls of its share. */
struct recheck_fixture : engine_fixture {
    recheck_fixture() {
        start(thin_evidence_policy::proceed, 4min);
        while (candidate_share() != full_share) {
            serve(1s, 0, 0);
        }
        serve(10s, 0, 0);
    }

    /** @param candidate_percent Percentage of failing calls. @return Number of failed calls of the candidate. */
    std::uint32_t serve(const std::chrono::seconds time, const std::uint32_t candidate_percent,
                        const std::uint32_t baseline_percent) {
        std::uint32_t failed = 0;
        for (auto second = 0s; second < time; ++second) {
            now.steady += 1s;
            now.wall += 1s;
            const auto calls = calls_per_second * candidate_share().value() / full_share.value();
            failed += calls * candidate_percent / 100;
            report(candidate_version, calls, calls * candidate_percent / 100);
            report(baseline_version, calls_per_second - calls, (calls_per_second - calls) * baseline_percent / 100);
            tick();
        }
        return failed;
    }

    void serve_until_recheck(const std::uint32_t percent) {
        for (int second = 0; second < 10 && candidate_share() == full_share; ++second) {
            serve(1s, percent, percent);
        }
        BOOST_TEST((candidate_share() == half));
    }

    void receive_rechecks(const std::uint8_t rechecks) {
        engine.on_update({.key = broadcasts.back().key, .state = {.stage = last_stage, .rechecks = rechecks}}, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rechecks, recheck_fixture)

// Guards against a rollback for a fault of both versions that starts while the baseline gets no calls.
BOOST_AUTO_TEST_CASE(common_fault_at_the_last_stage_does_not_roll_back) {
    serve(30s, 25, 25);
    serve(200s, 0, 0);
    BOOST_TEST((status().state == row_state::done));
    BOOST_TEST((candidate_share() == full_share));
    BOOST_TEST(broadcasts.back().state.rechecks >= 1U);
    BOOST_TEST(broadcasts.back().state.rechecks <= 3U);
}

// Guards against rechecks that keep traffic on a version that becomes faulty at the last stage.
BOOST_AUTO_TEST_CASE(late_fault_rolls_back_after_few_failures) {
    BOOST_TEST(serve(30s, 25, 0) <= 100U);
    BOOST_TEST((status().state == row_state::taken_back));
    BOOST_TEST((candidate_share() == share{}));
}

// Guards against a fault of both versions that hides a later fault of the candidate.
BOOST_AUTO_TEST_CASE(fault_after_a_common_fault_rolls_back) {
    serve(20s, 25, 25);
    serve(60s, 25, 0);
    BOOST_TEST((status().state == row_state::taken_back));
}

// Guards against a recheck that ends late or never on a node that received it late or was paused.
BOOST_AUTO_TEST_CASE(each_node_ends_a_recheck_by_its_own_clock) {
    receive_rechecks(1);
    BOOST_TEST((candidate_share() == half));
    serve(8s, 0, 0);
    receive_rechecks(1);
    BOOST_TEST((candidate_share() == half));
    serve(3s, 0, 0);
    BOOST_TEST((candidate_share() == full_share));
    receive_rechecks(2);
    now.steady += 60s;
    now.wall += 60s;
    tick();
    BOOST_TEST((candidate_share() == full_share));
}

// Guards against traffic to a baseline version without upstreams.
BOOST_AUTO_TEST_CASE(no_recheck_without_a_baseline_upstream) {
    live_versions = {candidate_version};
    serve(10s, 25, 0);
    BOOST_TEST((status().reason == row_reason::no_old_upstream));
    BOOST_TEST(broadcasts.back().state.rechecks == 0U);
    receive_rechecks(1);
    BOOST_TEST((candidate_share() == full_share));
}

// Guards against a recheck that continues after the end of the rollout.
BOOST_AUTO_TEST_CASE(finished_rollout_is_not_rechecked) {
    serve_until_recheck(25);
    engine.on_update({.key = broadcasts.back().key, .state = {.stage = last_stage, .done = true}}, now);
    BOOST_TEST((candidate_share() == full_share));
    receive_rechecks(9);
    BOOST_TEST((candidate_share() == full_share));
}

BOOST_AUTO_TEST_SUITE_END()
