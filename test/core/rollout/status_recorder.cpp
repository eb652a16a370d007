#include "goldcrestwell/core/rollout/status_recorder.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace goldcrestwell;

namespace {

rollout_status status(const rollout_phase phase) {
    return {.service = {"orders"}, .target = {"v2"}, .phase = phase};
}

struct fixture {
    int reads{};
    std::vector<log_offset> written;
    std::vector<rollout_status> recorded;
    status_recorder recorder{{.read = [this] { ++reads; },
                              .write = [this](const rollout_status&, const log_offset at) { written.push_back(at); },
                              .recorded =
                                  [this](const rollout_status& known) {
                                      recorded.push_back(known);
                                  }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(recorder_of_statuses)

// Guards against an end of a rollout that replaces another one, which operators have acted on already.
BOOST_FIXTURE_TEST_CASE(recorded_end_stands, fixture) {
    recorder.record(status(rollout_phase::completed));
    recorder.on_read(std::vector{status(rollout_phase::rolled_back)}, log_offset{4});
    BOOST_TEST(written.empty());
    BOOST_TEST((recorded == std::vector{status(rollout_phase::rolled_back)}));
}

// Guards against a write that another node's record has overtaken, and one whose answer is lost.
BOOST_FIXTURE_TEST_CASE(write_is_conditional_and_its_loss_reported_by_silence, fixture) {
    recorder.record(status(rollout_phase::completed));
    recorder.on_read(std::vector{status(rollout_phase::running)}, log_offset{4});
    BOOST_TEST((written == std::vector{log_offset{4}}));
    recorder.on_written(false);
    BOOST_TEST((recorded == std::vector{status(rollout_phase::running)}));
    recorder.record(status(rollout_phase::completed));
    BOOST_TEST(reads == 2);
    recorder.on_read(std::vector{status(rollout_phase::completed)}, log_offset{5});
    BOOST_TEST(written.size() == 1U);
    BOOST_TEST((recorded.back() == status(rollout_phase::completed)));
}

BOOST_AUTO_TEST_SUITE_END()
