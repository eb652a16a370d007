#include "goldcrestwell/core/rollout/status_recorder.hpp"

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

BOOST_AUTO_TEST_SUITE_END()
