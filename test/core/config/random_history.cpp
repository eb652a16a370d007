#include "core/config/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <charconv>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace goldcrestwell;
using namespace goldcrestwell::test;
using std::chrono::milliseconds;

namespace {

// Required time for a change to reach all nodes.
constexpr milliseconds propagation_limit{6000};

struct seed_range {
    std::uint64_t first{1};
    std::uint64_t last{30};
};

// GOLDCRESTWELL_SEEDS=first:last overrides the default range.
seed_range seed_range_from_environment() {
    seed_range range;
    const auto* text = std::getenv("GOLDCRESTWELL_SEEDS");
    if (text != nullptr) {
        const std::string_view view{text};
        const auto colon = view.find(':');
        BOOST_REQUIRE(colon != std::string_view::npos);
        std::from_chars(view.data(), view.data() + colon, range.first);
        std::from_chars(view.data() + colon + 1, view.data() + view.size(), range.last);
    }
    return range;
}

// One run with random edits and faults, derived from its seed.
class random_run {
public:
    explicit random_run(const std::uint64_t seed) : nodes_{seed, 2, 5} {}

    void run() {
        nodes_.faults = {.loss_probability = 0.1,
                         .batch_loss_probability = 0.1,
                         .duplication_probability = 0.1,
                         .delay_probability = 0.1};
        nodes_.run_for(milliseconds{3000});
        for (int step = 0; step < 60; ++step) {
            inject_fault();
            for (int edits = 0; edits < 4; ++edits) {
                append_random_change();
                nodes_.run_for(milliseconds{random_below(3000)});
            }
        }
        repair_and_wait();
        check_nodes();
    }

private:
    std::uint64_t random_below(const std::uint64_t limit) { return nodes_.random() % limit; }
    std::size_t random_node() { return static_cast<std::size_t>(random_below(nodes_.size())); }

    row_change random_change(const table_snapshot& table) {
        const auto key = make_key("/route" + std::to_string(random_below(4)), std::to_string(random_below(3)));
        const auto* row = table.find_row(key);
        const auto expected = row != nullptr ? row->row_version.value() : 0;
        if (random_below(4) == 0) {
            return remove_row(key, expected);
        }
        return set_row(key, static_cast<std::uint32_t>(random_below(4)), expected);
    }

    // The edit is based on the table of a random node, which may be stale. The same edit may be appended again later,
    // as if by an operator who did not receive the verdict.
    void append_random_change() {
        const auto table = nodes_.follower(random_node()).reducer().snapshot();
        if (random_below(3) == 0 && table->row_count() > 0) {
            const auto rows = table->rows();
            const auto& row = rows[random_below(rows.size())];
            nodes_.append(rollout_record{
                .key = {.row = row.key, .row_version = row.row_version},
                .state = {.stage = 5, .done = random_below(2) == 0, .rolled_back = random_below(4) == 0}});
            return;
        }
        if (random_below(10) == 0) {
            nodes_.append(unreadable_record{});
            return;
        }
        table_edit edit{.id = {.high = 7, .low = ++edit_count_}, .created_at = edit_time, .changes = {}};
        for (std::uint64_t count = 1 + random_below(2); count > 0; --count) {
            edit.changes.push_back(random_change(*table));
        }
        append_conflicting_edit(edit);
        nodes_.append(edit);
        if (random_below(3) == 0) {
            nodes_.schedule_after(milliseconds{random_below(9000)}, [this, edit] { nodes_.append(edit); });
        }
    }

    // Appends an edit of a second operator, who read the same table and sets other weights in the same rows.
    void append_conflicting_edit(table_edit edit) {
        if (random_below(3) != 0) {
            return;
        }
        edit.id.low = ++edit_count_;
        for (auto& change : edit.changes) {
            if (change.values) {
                change.values->weight += 1;
            }
        }
        nodes_.schedule_after(milliseconds{random_below(300)}, [this, edit] { nodes_.append(edit); });
    }

    void inject_fault() {
        switch (random_below(9)) {
        case 0:
            nodes_.faults.log_down = true;
            nodes_.schedule_after(milliseconds{random_below(20'000)}, [this] { nodes_.faults.log_down = false; });
            break;
        case 1:
            nodes_.faults.log_delay = milliseconds{random_below(4000)};
            nodes_.schedule_after(milliseconds{random_below(20'000)},
                                  [this] { nodes_.faults.log_delay = milliseconds{5}; });
            break;
        case 2:
            pause_for(random_node(), milliseconds{random_below(20'000)});
            break;
        case 3:
            // Longer than the retention of the log, so that the next records of the node have expired.
            pause_for(random_node(), fleet::retention + milliseconds{random_below(60'000)});
            break;
        case 4:
            nodes_.restart(random_node());
            break;
        case 5:
            restart_data_centre(random_below(2));
            break;
        case 6:
            nodes_.faults.log_down = true;
            restart_data_centre(0);
            restart_data_centre(1);
            nodes_.schedule_after(milliseconds{5000}, [this] { nodes_.faults.log_down = false; });
            break;
        case 7:
            nodes_.faults.data_centres_disconnected = true;
            nodes_.schedule_after(milliseconds{random_below(20'000)},
                                  [this] { nodes_.faults.data_centres_disconnected = false; });
            break;
        default:
            break;
        }
    }

    void pause_for(const std::size_t index, const milliseconds duration) {
        nodes_.pause(index);
        nodes_.schedule_after(duration, [this, index] { nodes_.resume(index); });
    }

    void restart_data_centre(const std::size_t data_centre) {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_.data_centre_of(index) == data_centre) {
                nodes_.restart(index);
            }
        }
    }

    void repair_and_wait() {
        nodes_.run_for(2 * fleet::retention);
        nodes_.faults = {};
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            nodes_.resume(index);
        }
        nodes_.append(unreadable_record{});
        // Maximum delay of a message in flight.
        nodes_.run_for(milliseconds{8000});
        const auto target = nodes_.reference().position();
        nodes_.run_for(propagation_limit);
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            BOOST_TEST(nodes_.follower(index).position().value() >= target.value());
        }
        // A checkpoint may have been written a moment ago; like any record it may take this long to reach every node.
        for (milliseconds elapsed{}; elapsed < propagation_limit && !all_up_to_date(); elapsed += milliseconds{100}) {
            nodes_.run_for(milliseconds{100});
        }
    }

    bool all_up_to_date() {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_.follower(index).position() != nodes_.reference().position()) {
                return false;
            }
        }
        return true;
    }

    void check_nodes() {
        const auto& reference = nodes_.reference();
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            const auto& follower = nodes_.follower(index);
            BOOST_TEST(follower.ready());
            BOOST_TEST(follower.position().value() == reference.position().value());
            BOOST_TEST(follower.reducer().digest() == reference.digest());
            BOOST_TEST(follower.reducer().divergences() == 0U);
        }
    }

    fleet nodes_;
    std::uint64_t edit_count_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(random_history)

// Guards against nodes whose table differs from that of the log at the end, or returns to an older state, under random
// combinations of faults.
BOOST_AUTO_TEST_CASE(all_nodes_end_with_the_table_of_the_log) {
    const auto range = seed_range_from_environment();
    for (auto seed = range.first; seed <= range.last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            random_run{seed}.run();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
