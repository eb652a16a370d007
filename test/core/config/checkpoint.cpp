#include "core/config/table_support.hpp"
#include "goldcrestwell/core/config/table_reducer.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>

using namespace goldcrestwell;
using namespace goldcrestwell::test;

namespace {

struct fixture {
    invariant_monitor monitor{failing_monitor()};
    table_reducer source{table_reducer_options{.max_part_bytes = 500, .invariants = &monitor}};
    table_reducer restored{table_reducer_options{.max_part_bytes = 500, .invariants = &monitor}};

    fixture() {
        for (std::uint64_t at = 1; at <= 20; ++at) {
            source.apply(edit_at(at, {set_row(make_key("/route" + std::to_string(at), "1"), 1)}));
        }
        source.apply(edit_at(21, {remove_row(make_key("/route3", "1"), 3)}));
        source.apply(edit_at(22, {set_row(make_key("/route4", "2"), 9), remove_row(make_key("/route4", "1"), 4)}));
        source.apply(rollout_record_at(23, make_key("/route4", "2"), 22, {.stage = 2}));
        source.apply(edit_at(24, {set_row(make_key("bad", "1"), 1)}));
        source.advance_to(log_offset{30});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(checkpoint, fixture)

// Guards against state that a checkpoint does not contain, and against parts that must be restored in order.
BOOST_AUTO_TEST_CASE(restored_state_equals_the_source) {
    auto parts = source.make_checkpoint();
    BOOST_TEST(parts.size() > 3U);
    std::reverse(parts.begin(), parts.end());
    BOOST_TEST(restored.restore(parts));
    BOOST_TEST(restored.digest() == source.digest());
    BOOST_TEST(restored.position().value() == 30U);
    BOOST_TEST((restored.snapshot()->rows() == source.snapshot()->rows()));
    BOOST_TEST((restored.snapshot()->rollout_records() == source.snapshot()->rollout_records()));
    BOOST_TEST((restored.snapshot()->base_shares({"/route4"}) == source.snapshot()->base_shares({"/route4"})));
    BOOST_TEST(!restored.apply(edit_at(31, {set_row(make_key("/again", "1"), 1)}, 5)).has_value());
    source.apply(edit_at(32, {set_row(make_key("/route4", "2"), 8, 22)}));
    restored.apply(edit_at(32, {set_row(make_key("/route4", "2"), 8, 22)}));
    BOOST_TEST(restored.digest() == source.digest());
}

// Guards against a state that is restored from an incomplete or damaged checkpoint.
BOOST_AUTO_TEST_CASE(damaged_checkpoint_is_rejected) {
    const std::vector<std::function<void(std::vector<checkpoint_part>&)>> damages{
        [](auto& parts) { parts.pop_back(); },
        [](auto& parts) { parts[1] = parts[0]; },
        [](auto& parts) { parts[0].rows[0].values.weight += 1; },
        [](auto& parts) { parts[0].bases.clear(); },
        [](auto& parts) { parts.back().verdicts.pop_back(); },
        [](auto& parts) { parts[0].covered_offset = log_offset{29}; },
        [](auto& parts) {
            for (auto& part : parts) {
                part.covered_offset = log_offset{40};
            }
        },
        [](auto& parts) { parts.clear(); },
    };
    for (const auto& damage : damages) {
        auto parts = source.make_checkpoint();
        damage(parts);
        BOOST_TEST(!restored.restore(parts));
        BOOST_TEST(restored.position().value() == 0U);
        BOOST_TEST(restored.snapshot()->row_count() == 0U);
    }
}

// Guards against a node that returns to an older state by a checkpoint.
BOOST_AUTO_TEST_CASE(older_checkpoint_is_rejected) {
    const auto parts = source.make_checkpoint();
    source.apply(edit_at(31, {set_row(make_key("/later", "1"), 1)}));
    BOOST_TEST(!source.restore(parts));
    BOOST_CHECK(source.last_reason() == reducer_reason::checkpoint_old);
    BOOST_TEST(source.position().value() == 31U);
}

// Guards against tables that diverge undetected, and against false reports of divergence.
BOOST_AUTO_TEST_CASE(divergence_is_counted) {
    const auto parts = source.make_checkpoint();
    source.apply(edit_at(31, {set_row(make_key("/later", "1"), 1)}));
    source.apply({.offset = log_offset{32}, .record = parts.front()});
    BOOST_TEST(source.divergences() == 0U);
    auto other = parts.front();
    other.digest += 1;
    source.apply({.offset = log_offset{33}, .record = other});
    BOOST_TEST(source.divergences() == 1U);
    restored.apply({.offset = log_offset{33}, .record = other});
    BOOST_TEST(restored.position().value() == 33U);
}

BOOST_AUTO_TEST_SUITE_END()
