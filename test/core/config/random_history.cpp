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

// The stated time for a change to be in force everywhere.
constexpr milliseconds in_force{6000};

struct seed_range {
    std::uint64_t first{1};
    std::uint64_t last{30};
};

// GOLDCRESTWELL_SEEDS=first:last runs another range than the fixed one.
seed_range seeds() {
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

// Operators and faults of one history, drawn from its seed.
class history {
public:
    explicit history(const std::uint64_t seed) : nodes_{seed, 2, 5} {}

    void run() {
        nodes_.faults = {.lost = 0.1, .batches_lost = 0.1, .duplicated = 0.1, .delayed = 0.1};
        nodes_.run_for(milliseconds{3000});
        for (int step = 0; step < 60; ++step) {
            fault();
            for (int edits = 0; edits < 4; ++edits) {
                operate();
                nodes_.run_for(milliseconds{draw(3000)});
            }
        }
        heal();
        check();
    }

private:
    std::uint64_t draw(const std::uint64_t below) { return nodes_.random() % below; }
    std::size_t any_node() { return static_cast<std::size_t>(draw(nodes_.size())); }

    row_change random_change(const table_snapshot& seen) {
        const auto key = key_of("/route" + std::to_string(draw(4)), std::to_string(draw(3)));
        const auto* row = seen.find_row(key);
        const auto expected = row != nullptr ? row->row_version.value() : 0;
        if (draw(4) == 0) {
            return remove_row(key, expected);
        }
        return set_row(key, static_cast<std::uint32_t>(draw(4)), expected);
    }

    // An operator sees the table of some node, which may be old; the answer to the append may be lost.
    void operate() {
        const auto seen = nodes_.follower(any_node()).reducer().snapshot();
        if (draw(3) == 0 && seen->row_count() > 0) {
            const auto rows = seen->rows();
            const auto& row = rows[draw(rows.size())];
            nodes_.append(rollout_record{.key = {.row = row.key, .row_version = row.row_version},
                                         .state = {.stage = 5, .done = draw(2) == 0, .rolled_back = draw(4) == 0}});
            return;
        }
        if (draw(10) == 0) {
            nodes_.append(unreadable_record{});
            return;
        }
        table_edit edit{.id = {.high = 7, .low = ++edits_}, .created_at = edit_time, .changes = {}};
        for (std::uint64_t count = 1 + draw(2); count > 0; --count) {
            edit.changes.push_back(random_change(*seen));
        }
        race(edit);
        nodes_.append(edit);
        if (draw(3) == 0) {
            nodes_.at(milliseconds{draw(9000)}, [this, edit] { nodes_.append(edit); });
        }
    }

    // A second operator who saw the same table changes the same rows with other weights.
    void race(table_edit edit) {
        if (draw(3) != 0) {
            return;
        }
        edit.id.low = ++edits_;
        for (auto& change : edit.changes) {
            if (change.values) {
                change.values->weight += 1;
            }
        }
        nodes_.at(milliseconds{draw(300)}, [this, edit] { nodes_.append(edit); });
    }

    void fault() {
        switch (draw(9)) {
        case 0:
            nodes_.faults.log_down = true;
            nodes_.at(milliseconds{draw(20'000)}, [this] { nodes_.faults.log_down = false; });
            break;
        case 1:
            nodes_.faults.log_delay = milliseconds{draw(4000)};
            nodes_.at(milliseconds{draw(20'000)}, [this] { nodes_.faults.log_delay = milliseconds{5}; });
            break;
        case 2:
            freeze(any_node(), milliseconds{draw(20'000)});
            break;
        case 3:
            // Long enough for the retention of the log to pass the node.
            freeze(any_node(), fleet::retention + milliseconds{draw(60'000)});
            break;
        case 4:
            nodes_.restart(any_node());
            break;
        case 5:
            restart_data_centre(draw(2));
            break;
        case 6:
            nodes_.faults.log_down = true;
            restart_data_centre(0);
            restart_data_centre(1);
            nodes_.at(milliseconds{5000}, [this] { nodes_.faults.log_down = false; });
            break;
        case 7:
            nodes_.faults.data_centres_cut = true;
            nodes_.at(milliseconds{draw(20'000)}, [this] { nodes_.faults.data_centres_cut = false; });
            break;
        default:
            break;
        }
    }

    void freeze(const std::size_t index, const milliseconds duration) {
        nodes_.pause(index);
        nodes_.at(duration, [this, index] { nodes_.resume(index); });
    }

    void restart_data_centre(const std::size_t data_centre) {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_.data_centre_of(index) == data_centre) {
                nodes_.restart(index);
            }
        }
    }

    void heal() {
        nodes_.run_for(2 * fleet::retention);
        nodes_.faults = {};
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            nodes_.resume(index);
        }
        nodes_.append(unreadable_record{});
        // The longest delay of a message still under way.
        nodes_.run_for(milliseconds{8000});
        const auto target = nodes_.reference().position();
        nodes_.run_for(in_force);
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            BOOST_TEST(nodes_.follower(index).position().value() >= target.value());
        }
        // A checkpoint may have been written just now; it has as long as any other record to reach every node.
        for (milliseconds waited{}; waited < in_force && !all_current(); waited += milliseconds{100}) {
            nodes_.run_for(milliseconds{100});
        }
    }

    bool all_current() {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_.follower(index).position() != nodes_.reference().position()) {
                return false;
            }
        }
        return true;
    }

    void check() {
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
    std::uint64_t edits_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(random_history)

// Guards against nodes that end with another table than the log says, or go back, under any mix of faults.
BOOST_AUTO_TEST_CASE(every_node_ends_with_the_same_table) {
    const auto range = seeds();
    for (auto seed = range.first; seed <= range.last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            history{seed}.run();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
