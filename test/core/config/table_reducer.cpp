#include "goldcrestwell/core/config/table_reducer.hpp"

#include "core/config/table_support.hpp"
#include "goldcrestwell/core/config/config_limits.hpp"
#include "goldcrestwell/core/config/state_digest.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>

using namespace goldcrestwell;
using namespace goldcrestwell::test;

namespace {

const row_key baseline_row = make_key("/orders", "1");
const row_key candidate_row = make_key("/orders", "2");
const row_key other_route_row = make_key("/proofs", "1");
constexpr rollout_state finished_rollout{.stage = 5, .done = true, .rolled_back = false, .reason = {}};

struct fixture {
    invariant_monitor monitor{failing_monitor()};
    table_reducer reducer{table_reducer_options{.invariants = &monitor}};

    edit_reason apply(const sequenced_record& record) {
        const auto verdict = reducer.apply(record);
        BOOST_REQUIRE(verdict.has_value());
        return verdict->reason;
    }

    [[nodiscard]] std::uint32_t base(const row_key& key) const {
        return share_of(reducer.snapshot()->base_shares(key.route), key.version).value();
    }
    [[nodiscard]] std::uint32_t target(const row_key& key) const {
        return share_of(reducer.snapshot()->target_shares(key.route), key.version).value();
    }
    [[nodiscard]] std::uint64_t row_version(const row_key& key) const {
        const auto* row = reducer.snapshot()->find_row(key);
        return row != nullptr ? row->row_version.value() : 0;
    }
};

sequenced_record edit_with_values(const std::function<void(row_values&)>& change) {
    auto row = set_row(baseline_row, 10);
    change(*row.values);
    return edit_at(1, {row});
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(reducer, fixture)

// Guards against a change that modifies an existing snapshot.
BOOST_AUTO_TEST_CASE(snapshots_are_immutable) {
    BOOST_CHECK(apply(edit_at(1, {set_row(baseline_row, 10)})) == edit_reason::accepted);
    const auto before = reducer.snapshot();
    BOOST_CHECK(apply(edit_at(4, {set_row(baseline_row, 20, 1), set_row(other_route_row, 5)})) ==
                edit_reason::accepted);
    BOOST_TEST(before->row_count() == 1U);
    BOOST_TEST(before->find_row(baseline_row)->values.weight == 10U);
    BOOST_TEST(reducer.snapshot()->row_count() == 2U);
    BOOST_TEST(reducer.snapshot()->version().value() == 4U);
    BOOST_TEST(row_version(baseline_row) == 4U);
}

// Guards against rows with values that a node cannot apply.
BOOST_AUTO_TEST_CASE(values_out_of_range_are_rejected) {
    using std::chrono::milliseconds;
    const std::vector<std::pair<edit_reason, std::function<void(row_values&)>>> cases{
        {edit_reason::weight_out_of_range,
         [](row_values& row) {
             row.weight = max_weight + 1;
         }},
        {edit_reason::invalid_service,
         [](row_values& row) {
             row.service = {"a b"};
         }},
        {edit_reason::invalid_service,
         [](row_values& row) {
             row.service = {};
         }},
        {edit_reason::limit_out_of_range,
         [](row_values& row) {
             row.limits.max_queue = max_limit + 1;
         }},
        {edit_reason::limit_out_of_range,
         [](row_values& row) {
             row.limits.timeout = milliseconds{-1};
         }},
        {edit_reason::deadline_passed,
         [](row_values& row) {
             row.deadline = edit_time;
         }},
        {edit_reason::deadline_too_far,
         [](row_values& row) {
             row.deadline = edit_time + max_rollout_duration + milliseconds{1};
         }},
        {edit_reason::deadline_too_far,
         [](row_values& row) {
             row.deadline = wall_time::max();
         }},
        {edit_reason::no_weight_left,
         [](row_values& row) {
             row.weight = 0;
         }},
    };
    for (const auto& [reason, change] : cases) {
        table_reducer fresh{table_reducer_options{.invariants = &monitor}};
        const auto verdict = fresh.apply(edit_with_values(change));
        BOOST_CHECK_MESSAGE(verdict && verdict->reason == reason, to_string(reason));
        BOOST_TEST(fresh.snapshot()->row_count() == 0U);
    }
}

// Guards against several spellings of one prefix, and against names that cannot be written to a table file.
BOOST_AUTO_TEST_CASE(names_with_invalid_syntax_are_rejected) {
    std::uint64_t at = 1;
    for (const auto* route : {"", "orders", "/orders/", "//orders", "/or ders", "/or\"ders"}) {
        BOOST_CHECK(apply(edit_at(at++, {set_row(make_key(route, "1"), 1)})) == edit_reason::invalid_route);
    }
    BOOST_CHECK(apply(edit_at(at++, {set_row(make_key("/orders", "1,2"), 1)})) == edit_reason::invalid_version);
    BOOST_CHECK(apply(edit_at(at++, {set_row(make_key("/", "1"), 1)})) == edit_reason::accepted);
}

// Guards against edits whose changes contradict each other or the table.
BOOST_AUTO_TEST_CASE(inconsistent_edits_are_rejected) {
    BOOST_CHECK(apply(edit_at(1, {})) == edit_reason::empty_edit);
    BOOST_CHECK(apply(edit_at(2, {set_row(baseline_row, 1), set_row(baseline_row, 2)})) ==
                edit_reason::row_named_twice);
    BOOST_CHECK(apply(edit_at(3, {remove_row(baseline_row, 0)})) == edit_reason::unknown_row);
    BOOST_CHECK(apply(edit_at(4, {set_row(baseline_row, 1)})) == edit_reason::accepted);
    auto other_service = set_row(candidate_row, 1);
    other_service.values->service = {"proof"};
    BOOST_CHECK(apply(edit_at(5, {other_service})) == edit_reason::mixed_services);
    BOOST_CHECK(apply(edit_at(6, {set_row(baseline_row, 0, 4)})) == edit_reason::no_weight_left);
    BOOST_CHECK(apply(edit_at(7, {remove_row(baseline_row, 4)})) == edit_reason::accepted);
    BOOST_TEST(reducer.snapshot()->route_count() == 0U);
}

// Guards against a rejected edit whose valid changes are applied.
BOOST_AUTO_TEST_CASE(rejected_edit_changes_nothing) {
    apply(edit_at(1, {set_row(baseline_row, 1)}));
    const auto before = reducer.snapshot();
    BOOST_CHECK(apply(edit_at(2, {set_row(baseline_row, 2, 1), set_row(other_route_row, 0)})) ==
                edit_reason::no_weight_left);
    BOOST_CHECK(reducer.snapshot() == before);
    BOOST_TEST(reducer.position().value() == 2U);
}

// Guards against an operator who overwrites a concurrent change of the same row, and against conflicts between edits of
// different rows.
BOOST_AUTO_TEST_CASE(first_of_concurrent_edits_is_accepted) {
    apply(edit_at(1, {set_row(baseline_row, 1), set_row(other_route_row, 1)}));
    BOOST_CHECK(apply(edit_at(2, {set_row(baseline_row, 2, 1)})) == edit_reason::accepted);
    BOOST_CHECK(apply(edit_at(3, {set_row(baseline_row, 3, 1)})) == edit_reason::stale_row);
    BOOST_CHECK(apply(edit_at(4, {set_row(other_route_row, 2, 1)})) == edit_reason::accepted);
    BOOST_CHECK(apply(edit_at(5, {set_row(baseline_row, 3)})) == edit_reason::stale_row);
    BOOST_TEST(reducer.snapshot()->find_row(baseline_row)->values.weight == 2U);
}

// Guards against an edit that is applied twice, because it was appended again after a lost response, and against
// records that are received again.
BOOST_AUTO_TEST_CASE(duplicates_are_ignored) {
    const auto edit = edit_at(5, {set_row(baseline_row, 1)}, 77);
    apply(edit);
    BOOST_TEST(!reducer.apply(edit).has_value());
    BOOST_CHECK(reducer.last_reason() == reducer_reason::record_old);
    BOOST_TEST(!reducer.apply(edit_at(3, {set_row(other_route_row, 1)})).has_value());
    BOOST_TEST(!reducer.apply(edit_at(6, {set_row(baseline_row, 1)}, 77)).has_value());
    BOOST_CHECK(reducer.last_reason() == reducer_reason::duplicate_edit);
    BOOST_TEST(reducer.snapshot()->row_count() == 1U);
    BOOST_TEST(reducer.verdict({.high = 1, .low = 77})->offset.value() == 5U);
    reducer.advance_to(log_offset{2});
    BOOST_TEST(reducer.position().value() == 6U);
}

// Guards against a node that stops at a record that it cannot decode.
BOOST_AUTO_TEST_CASE(unreadable_record_is_skipped) {
    BOOST_TEST(!reducer.apply({.offset = log_offset{1}, .record = unreadable_record{}}).has_value());
    BOOST_CHECK(reducer.last_reason() == reducer_reason::record_unreadable);
    BOOST_TEST(reducer.position().value() == 1U);
}

// Guards against a rollout that starts at shares that were never reached.
BOOST_AUTO_TEST_CASE(base_shares_follow_finished_rollouts_only) {
    apply(edit_at(1, {set_row(baseline_row, 100)}));
    BOOST_TEST(base(baseline_row) == full_share.value());
    apply(edit_at(2, {set_row(baseline_row, 0, 1), set_row(candidate_row, 100)}));
    BOOST_TEST(base(baseline_row) == full_share.value());
    apply(edit_at(3, {set_row(baseline_row, 50, 2)}));
    BOOST_TEST(base(baseline_row) == full_share.value());
    BOOST_TEST(base(candidate_row) == 0U);
    reducer.apply(rollout_record_at(4, candidate_row, 2, finished_rollout));
    apply(edit_at(5, {set_row(candidate_row, 300, 2)}));
    BOOST_TEST(base(candidate_row) == 666'667U);
    BOOST_TEST(target(candidate_row) == 857'143U);
    reducer.apply(
        rollout_record_at(6, candidate_row, 5, {.stage = 5, .done = true, .rolled_back = true, .reason = {}}));
    apply(edit_at(7, {set_row(candidate_row, 10, 5)}));
    BOOST_TEST(base(candidate_row) == 666'667U);
}

// Guards against a removed version whose traffic is moved to another one without a rollout.
BOOST_AUTO_TEST_CASE(removed_version_keeps_its_base_share) {
    apply(edit_at(1, {set_row(baseline_row, 1)}));
    BOOST_CHECK(apply(edit_at(2, {remove_row(baseline_row, 1), set_row(candidate_row, 1)})) == edit_reason::accepted);
    BOOST_TEST(base(baseline_row) == full_share.value());
    BOOST_TEST(target(candidate_row) == full_share.value());
}

// Guards against a version that takes a larger share at once, because its last rollout to a smaller share is done.
BOOST_AUTO_TEST_CASE(growing_row_starts_a_new_rollout) {
    apply(edit_at(1, {set_row(baseline_row, 95)}));
    apply(edit_at(2, {set_row(candidate_row, 5)}));
    reducer.apply(rollout_record_at(3, candidate_row, 2, finished_rollout));
    apply(edit_at(4, {remove_row(baseline_row, 1)}));
    BOOST_TEST(row_version(candidate_row) == 4U);
    BOOST_TEST(base(candidate_row) == 50'000U);
    BOOST_TEST(reducer.snapshot()->rollout_records().empty());
}

// Guards against a record of an earlier rollout that is applied to the current one.
BOOST_AUTO_TEST_CASE(records_of_other_rollouts_are_ignored) {
    apply(edit_at(1, {set_row(baseline_row, 1)}));
    reducer.apply(rollout_record_at(2, candidate_row, 1, finished_rollout));
    BOOST_CHECK(reducer.last_reason() == reducer_reason::stale_fact);
    apply(edit_at(3, {set_row(baseline_row, 2, 1)}));
    reducer.apply(rollout_record_at(4, baseline_row, 1, finished_rollout));
    BOOST_CHECK(reducer.last_reason() == reducer_reason::stale_fact);
    reducer.apply(rollout_record_at(5, baseline_row, 3, {.stage = 3}));
    reducer.apply(rollout_record_at(6, baseline_row, 3, {.stage = 1}));
    BOOST_CHECK(reducer.last_reason() == reducer_reason::fact_known);
    BOOST_TEST(reducer.snapshot()->recorded_state({.row = baseline_row, .row_version = log_offset{3}})->stage == 3U);
}

// Guards against a count of rechecks that is lost in the state, or that differs between nodes with the same digest.
BOOST_AUTO_TEST_CASE(rechecks_are_recorded) {
    apply(edit_at(1, {set_row(baseline_row, 1)}));
    reducer.apply(rollout_record_at(2, baseline_row, 1, {.stage = 5}));
    reducer.apply(rollout_record_at(3, baseline_row, 1, {.stage = 1, .rechecks = 2}));
    const auto recorded_state = reducer.snapshot()->recorded_state({.row = baseline_row, .row_version = log_offset{1}});
    BOOST_CHECK((recorded_state == rollout_state{.stage = 5, .rechecks = 2}));
    const route_state two{.rollout_records = {{.key = {}, .state = {.stage = 5, .rechecks = 2}}}};
    const route_state three{.rollout_records = {{.key = {}, .state = {.stage = 5, .rechecks = 3}}}};
    BOOST_TEST(internal::digest_of(two) != internal::digest_of(three));
}

// Guards against shares whose sum differs from the full share because of rounding.
BOOST_AUTO_TEST_CASE(target_shares_add_up_to_the_full_share) {
    std::vector<row_change> changes;
    for (std::uint32_t index = 0; index < 7; ++index) {
        changes.push_back(set_row(make_key("/orders", std::to_string(index)), index * 13 + 1));
    }
    apply(edit_at(1, changes));
    std::uint32_t sum = 0;
    for (const auto& entry : reducer.snapshot()->target_shares({"/orders"})) {
        sum += entry.share.value();
    }
    BOOST_TEST(sum == full_share.value());
}

// Guards against a route tree that loses, repeats or misorders routes.
BOOST_AUTO_TEST_CASE(many_routes_are_added_and_removed) {
    std::uint64_t at = 0;
    for (int index = 0; index < 500; ++index) {
        apply(edit_at(++at, {set_row(make_key("/route" + std::to_string(index), "1"), 1)}));
    }
    for (std::uint64_t index = 0; index < 500; index += 2) {
        const auto key = make_key("/route" + std::to_string(index), "1");
        BOOST_CHECK(apply(edit_at(++at, {remove_row(key, index + 1)})) == edit_reason::accepted);
    }
    const auto rows = reducer.snapshot()->rows();
    BOOST_TEST(rows.size() == 250U);
    BOOST_TEST(reducer.snapshot()->route_count() == 250U);
    BOOST_TEST(std::is_sorted(rows.begin(), rows.end(),
                              [](const table_row& left, const table_row& right) { return left.key < right.key; }));
}

BOOST_AUTO_TEST_SUITE_END()
