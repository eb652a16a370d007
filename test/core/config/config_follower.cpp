#include "goldcrestwell/core/config/config_follower.hpp"

#include "core/config/fleet.hpp"
#include "goldcrestwell/core/config/push_tree.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace goldcrestwell;
using namespace goldcrestwell::test;
using std::chrono::milliseconds;

namespace {

// The stated time for a change to be in force everywhere.
constexpr milliseconds in_force{6000};

table_edit numbered_edit(const std::uint64_t number) {
    return {.id = {.high = 9, .low = number},
            .created_at = edit_time,
            .changes = {set_row(key_of("/route" + std::to_string(number), "1"), 1)}};
}

void append_edits(fleet& nodes, const std::uint64_t first, const std::uint64_t last) {
    for (auto number = first; number <= last; ++number) {
        BOOST_REQUIRE(nodes.append(numbered_edit(number)));
    }
}

std::size_t count_current(fleet& nodes) {
    std::size_t current = 0;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        const auto& follower = nodes.follower(index);
        current += follower.ready() && follower.position() == nodes.reference().position() ? 1 : 0;
    }
    return current;
}

// One follower whose effects are only recorded.
struct lone_follower {
    invariant_monitor monitor{failing_monitor()};
    counters counts;
    std::vector<node_id> members{node_id{1}, node_id{2}, node_id{3}, node_id{4}, node_id{5}};
    std::size_t reads{};
    std::size_t appended{};
    std::vector<std::pair<node_id, config_pull>> pulls;
    std::vector<record_batch> sent;
    std::vector<edit_verdict> decided;
    steady_time now{std::chrono::hours{1}};
    config_follower follower;

    explicit lone_follower(const std::uint64_t id = 1) : follower{options_for(id)} { follower.start(time()); }

    [[nodiscard]] time_sample time() const { return {.steady = now, .wall = edit_time}; }

    void pass(const milliseconds duration) {
        const auto end = now + duration;
        while (follower.next_timer() && *follower.next_timer() <= end) {
            now = std::max(now, *follower.next_timer());
            follower.on_timer(time());
            BOOST_REQUIRE_MESSAGE(*follower.next_timer() > now, "a timer that does not let the time pass");
        }
        now = end;
    }

    config_follower_options options_for(const std::uint64_t id) {
        config_follower_options options;
        options.self = node_id{id};
        options.read_log = [this](log_offset, milliseconds) {
            ++reads;
        };
        options.append_record = [this](const log_record&) {
            ++appended;
        };
        options.send_pull = [this](const node_id to, const config_pull& pull) {
            pulls.emplace_back(to, pull);
        };
        options.send_batch = [this](node_id, const record_batch& batch) {
            sent.push_back(batch);
        };
        options.data_centre_peers = [this] {
            return members;
        };
        options.all_peers = options.data_centre_peers;
        options.snapshot_changed = [](const std::shared_ptr<const table_snapshot>&) {
        };
        options.edit_decided = [this](const edit_verdict& verdict) {
            decided.push_back(verdict);
        };
        options.counts = &counts;
        options.invariants = &monitor;
        return options;
    }

    static std::uint64_t id_with_role(const bool relay) {
        const std::vector<node_id> ids{node_id{1}, node_id{2}, node_id{3}, node_id{4}, node_id{5}};
        const auto found = std::find_if(
            ids.begin(), ids.end(), [&ids, relay](const node_id id) { return internal::is_relay(id, ids) == relay; });
        return found->value();
    }
};

record_batch batch_of(const std::uint64_t after, const std::uint64_t through) {
    record_batch batch{.after = log_offset{after},
                       .records = {},
                       .through = log_offset{through},
                       .head = log_offset{through},
                       .first_retained = log_offset{1}};
    for (auto at = after + 1; at <= through; ++at) {
        auto& record = batch.records.emplace_back();
        record.offset = log_offset{at};
        record.record = numbered_edit(at);
    }
    return batch;
}

} // namespace

BOOST_AUTO_TEST_SUITE(follower)

// Guards against members that the push does not reach, or reaches by a node that sends too often.
BOOST_AUTO_TEST_CASE(push_tree_reaches_each_member_once) {
    std::vector<node_id> members;
    for (std::uint64_t id = 1; id <= 430; ++id) {
        members.emplace_back(id);
    }
    std::map<node_id, std::size_t> pushes;
    std::size_t relays = 0;
    for (const auto member : members) {
        const auto children = internal::push_children(member, members);
        BOOST_TEST(children.size() <= internal::push_fan_out);
        const auto relay = internal::is_relay(member, members);
        relays += relay ? 1 : 0;
        for (const auto child : children) {
            pushes[child] += relay ? 1 : 2;
        }
    }
    BOOST_TEST(relays == internal::relay_count);
    BOOST_TEST(pushes.size() == members.size() - internal::relay_count);
    BOOST_TEST(std::all_of(pushes.begin(), pushes.end(), [](const auto& entry) { return entry.second == 2; }));
}

// Guards against a healthy data centre that reads the log with more than its relays or sends a record too often.
BOOST_AUTO_TEST_CASE(healthy_data_centre_spreads_by_push) {
    fleet nodes{1, 1, 40};
    nodes.run_for(in_force);
    const auto reads = nodes.log_reads;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        append_edits(nodes, number, number);
        nodes.run_for(milliseconds{1000});
        BOOST_TEST(count_current(nodes) == nodes.size());
    }
    // Each relay reads once more after each of the ten records, and its long poll ends every 5 s.
    BOOST_TEST(nodes.log_reads - reads <= 2U * (10 + 4));
    BOOST_TEST(nodes.sends_of_busiest_node() <= internal::push_fan_out);
}

// Guards against pushes whose loss nobody repairs.
BOOST_AUTO_TEST_CASE(lost_pushes_are_repaired) {
    fleet nodes{2, 1, 20};
    nodes.run_for(in_force);
    nodes.faults.batches_lost = 0.5;
    append_edits(nodes, 1, 10);
    nodes.run_for(in_force);
    BOOST_TEST(count_current(nodes) == nodes.size());
}

// Guards against a node that can only be restored by the log, which is down.
BOOST_AUTO_TEST_CASE(frozen_node_gets_the_state_from_a_peer) {
    fleet nodes{3, 1, 6};
    nodes.run_for(in_force);
    nodes.pause(5);
    append_edits(nodes, 1, 60);
    nodes.run_for(in_force);
    nodes.faults.log_down = true;
    nodes.resume(5);
    nodes.run_for(in_force);
    BOOST_TEST(nodes.state_transfers > 0U);
    BOOST_TEST(nodes.follower(5).position().value() == nodes.reference().position().value());
}

// Guards against nodes that serve an empty table, and against a fleet that needs the log to start.
BOOST_AUTO_TEST_CASE(restart_while_the_log_is_down) {
    fleet nodes{4, 1, 6};
    append_edits(nodes, 1, 30);
    nodes.run_for(in_force);
    nodes.faults.log_down = true;
    for (std::size_t index = 1; index < nodes.size(); ++index) {
        nodes.restart(index);
    }
    nodes.run_for(2 * in_force);
    BOOST_TEST(count_current(nodes) == nodes.size());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        nodes.restart(index);
    }
    nodes.run_for(2 * in_force);
    BOOST_TEST(count_current(nodes) == 0U);
    nodes.faults.log_down = false;
    nodes.run_for(in_force);
    BOOST_TEST(count_current(nodes) == nodes.size());
}

// Guards against a log whose checkpoints expire, and against all nodes writing them.
BOOST_AUTO_TEST_CASE(checkpoints_are_written_in_turn) {
    fleet nodes{5, 2, 5};
    append_edits(nodes, 1, 5);
    nodes.run_for(fleet::retention);
    const auto healthy = nodes.checkpoints;
    BOOST_TEST(healthy >= 2U);
    BOOST_TEST(healthy <= 4U);
    std::vector<node_id> ids;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        ids.emplace_back(1, static_cast<std::uint16_t>(index));
    }
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (internal::checkpoint_rank(ids[index], ids) < 2) {
            nodes.pause(index);
        }
    }
    nodes.run_for(fleet::retention);
    BOOST_TEST(nodes.checkpoints - healthy >= 2U);
    BOOST_TEST(nodes.checkpoints - healthy <= 4U);
}

// Guards against a record that is skipped because the batch before it was lost.
BOOST_AUTO_TEST_CASE(batch_with_a_gap_is_pulled_instead) {
    lone_follower node;
    node.follower.on_peer_batch(node_id{2}, batch_of(0, 2), node.time());
    node.follower.on_peer_batch(node_id{2}, batch_of(4, 6), node.time());
    BOOST_TEST(node.follower.position().value() == 2U);
    BOOST_TEST(node.counts.drops[drop_reason::batch_gap] == 1U);
    node.pass(milliseconds{500});
    BOOST_REQUIRE(node.pulls.size() == 1U);
    BOOST_TEST(node.pulls.front().second.after.value() == 2U);
    node.follower.on_peer_batch(node_id{2}, batch_of(1, 6), node.time());
    BOOST_TEST(node.follower.position().value() == 6U);
    BOOST_TEST(node.decided.size() == 6U);
}

// Guards against an answer that exceeds the size of a frame, and against a batch that claims what it does not hold.
BOOST_AUTO_TEST_CASE(answers_to_pulls_are_limited) {
    lone_follower node;
    node.follower.on_peer_batch(node_id{2}, batch_of(0, 1000), node.time());
    node.sent.clear();
    node.follower.on_pull(node_id{3}, {.after = log_offset{10}}, node.time());
    BOOST_REQUIRE(node.sent.size() == 1U);
    const auto& answer = node.sent.front();
    BOOST_TEST(answer.records.size() < 990U);
    BOOST_TEST(answer.records.front().offset.value() == 11U);
    BOOST_TEST(answer.through.value() == answer.records.back().offset.value());
    lone_follower other;
    other.follower.on_peer_batch(node_id{2}, batch_of(0, 10), other.time());
    other.follower.on_peer_batch(node_id{2}, answer, other.time());
    BOOST_TEST(other.follower.position().value() == answer.through.value());
}

// Guards against a damaged state from a peer, and against a peer that brings a node back to an older one.
BOOST_AUTO_TEST_CASE(state_transfer_is_verified) {
    lone_follower source;
    source.follower.on_peer_batch(node_id{2}, batch_of(0, 2000), source.time());
    source.sent.clear();
    source.follower.on_pull(node_id{3}, {.after = log_offset{0}}, source.time());
    BOOST_REQUIRE(source.sent.size() > 1U);
    lone_follower node;
    auto damaged = source.sent;
    std::get<checkpoint_part>(damaged.back().records.front().record).verdicts.pop_back();
    for (const auto& batch : damaged) {
        node.follower.on_peer_batch(node_id{2}, batch, node.time());
    }
    BOOST_TEST(node.follower.position().value() == 0U);
    BOOST_TEST(node.counts.drops[drop_reason::record_unreadable] == 1U);
    for (const auto& batch : source.sent) {
        node.follower.on_peer_batch(node_id{2}, batch, node.time());
    }
    BOOST_TEST(node.follower.position().value() == 2000U);
    BOOST_TEST(node.follower.reducer().digest() == source.follower.reducer().digest());
    BOOST_TEST(node.decided.size() == 2000U);
    node.follower.on_peer_batch(node_id{2}, batch_of(2000, 2001), node.time());
    for (const auto& batch : source.sent) {
        node.follower.on_peer_batch(node_id{2}, batch, node.time());
    }
    BOOST_TEST(node.follower.position().value() == 2001U);
}

// Guards against a node that waits for ever for peers which do not answer, and against a storm of reads.
BOOST_AUTO_TEST_CASE(own_reads_are_late_and_rare) {
    lone_follower node{lone_follower::id_with_role(false)};
    node.pass(milliseconds{2000});
    BOOST_TEST(node.reads == 1U);
    node.follower.on_log_batch(batch_of(0, 5), node.time());
    BOOST_TEST(node.follower.ready());
    node.pass(milliseconds{60'000});
    BOOST_TEST(node.reads == 1U);
    node.follower.on_peer_position(node_id{7}, log_offset{9}, node.time());
    node.pass(milliseconds{2900});
    BOOST_TEST(node.reads == 1U);
    BOOST_TEST(node.pulls.size() >= 2U);
    node.pass(milliseconds{1200});
    BOOST_TEST(node.reads == 2U);
    node.follower.on_log_batch(batch_of(5, 9), node.time());
    node.pass(milliseconds{60'000});
    BOOST_TEST(node.reads == 2U);
}

// Guards against a relay that reads without pause when the log is down or answers at once without anything new.
BOOST_AUTO_TEST_CASE(useless_reads_are_spaced) {
    lone_follower node{lone_follower::id_with_role(true)};
    std::size_t answered = 0;
    for (int step = 0; step < 600; ++step) {
        node.pass(milliseconds{100});
        if (node.reads > answered) {
            answered = node.reads;
            step < 300 ? node.follower.on_log_failure(node.time())
                       : node.follower.on_log_batch(batch_of(0, 0), node.time());
        }
    }
    // 60 s with at most one read every 250 ms, the shortest wait after a read without result.
    BOOST_TEST(node.reads <= 240U);
}

BOOST_AUTO_TEST_SUITE_END()
