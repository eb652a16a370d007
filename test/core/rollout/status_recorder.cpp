#include "goldcrestwell/core/rollout/status_recorder.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace goldcrestwell;

namespace {

rollout_status status(const rollout_phase phase) {
    return {.service = {"orders"}, .target = {"v2"}, .phase = phase};
}

struct recorder_fixture {
    int read_count{};
    std::vector<log_offset> written_positions;
    std::vector<rollout_status> recorded;
    status_recorder recorder{
        {.read = [this] { ++read_count; },
         .write = [this](const rollout_status&, const log_offset at) { written_positions.push_back(at); },
         .recorded =
             [this](const rollout_status& status_recorded) {
                 recorded.push_back(status_recorded);
             }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(status_recording)

// Guards against a recorded end of a rollout that is replaced after operators have already acted on it.
BOOST_FIXTURE_TEST_CASE(recorded_end_is_final, recorder_fixture) {
    recorder.record(status(rollout_phase::completed));
    recorder.on_read(std::vector{status(rollout_phase::rolled_back)}, log_offset{4});
    BOOST_TEST(written_positions.empty());
    BOOST_TEST((recorded == std::vector{status(rollout_phase::rolled_back)}));
}

// Guards against a write that overwrites the record of another node, and against a write whose response is lost.
BOOST_FIXTURE_TEST_CASE(write_is_conditional_and_unconfirmed_write_is_repeated, recorder_fixture) {
    recorder.record(status(rollout_phase::completed));
    recorder.on_read(std::vector{status(rollout_phase::running)}, log_offset{4});
    BOOST_TEST((written_positions == std::vector{log_offset{4}}));
    recorder.on_written(false);
    BOOST_TEST((recorded == std::vector{status(rollout_phase::running)}));
    recorder.record(status(rollout_phase::completed));
    BOOST_TEST(read_count == 2);
    recorder.on_read(std::vector{status(rollout_phase::completed)}, log_offset{5});
    BOOST_TEST(written_positions.size() == 1U);
    BOOST_TEST((recorded.back() == status(rollout_phase::completed)));
}

// Guards against a write whose condition holds again by accident, because the store gives offsets out again.
BOOST_FIXTURE_TEST_CASE(read_of_a_replaced_history_does_not_lead_to_a_write, recorder_fixture) {
    constexpr auto old_end = make_store_offset(store_era{1}, 4);
    constexpr auto new_end = make_store_offset(store_era{2}, 3);
    for (const bool failed : {false, true}) {
        read_count = 0;
        written_positions.clear();
        recorder.record(status(rollout_phase::completed));
        recorder.on_history_replaced();
        recorder.on_read(failed ? std::nullopt : std::optional{std::vector{status(rollout_phase::running)}}, old_end);
        BOOST_TEST(written_positions.empty());
        BOOST_TEST(recorded.empty());
        BOOST_TEST(read_count == 2);
        recorder.on_read(std::vector<rollout_status>{}, new_end);
        BOOST_TEST((written_positions == std::vector{new_end}));
        recorder.on_written(false);
    }
}

BOOST_FIXTURE_TEST_CASE(late_read_of_an_earlier_history_does_not_lead_to_a_write, recorder_fixture) {
    recorder.refresh();
    recorder.on_read(std::vector<rollout_status>{}, make_store_offset(store_era{2}, 3));
    recorder.record(status(rollout_phase::completed));
    recorder.on_read(std::vector{status(rollout_phase::running)}, make_store_offset(store_era{1}, 4));
    BOOST_TEST(written_positions.empty());
    BOOST_TEST(recorded.empty());
    recorder.record(status(rollout_phase::completed));
    BOOST_TEST(read_count == 3);
}

// Guards against an end of a rollout that counts as recorded although the store lost it.
BOOST_FIXTURE_TEST_CASE(write_of_a_replaced_history_is_repeated_after_a_read, recorder_fixture) {
    constexpr auto new_end = make_store_offset(store_era{2}, 3);
    for (const bool confirmed : {true, false}) {
        read_count = 0;
        written_positions.clear();
        recorded.clear();
        recorder.record(status(rollout_phase::completed));
        recorder.on_read(std::vector<rollout_status>{}, make_store_offset(store_era{2}, 2));
        recorder.on_history_replaced();
        recorder.on_written(confirmed);
        BOOST_TEST(recorded.empty());
        BOOST_TEST(read_count == 2);
        recorder.on_read(std::vector<rollout_status>{}, new_end);
        BOOST_TEST((written_positions.back() == new_end));
        recorder.on_written(true);
        BOOST_TEST((recorded == std::vector{status(rollout_phase::completed)}));
    }
}

BOOST_FIXTURE_TEST_CASE(replaced_history_costs_no_call_without_a_status, recorder_fixture) {
    recorder.on_history_replaced();
    BOOST_TEST(read_count == 0);
    recorder.record(status(rollout_phase::completed));
    recorder.on_read(std::vector<rollout_status>{}, make_store_offset(store_era{2}, 3));
    BOOST_TEST(read_count == 1);
    BOOST_TEST(written_positions.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
