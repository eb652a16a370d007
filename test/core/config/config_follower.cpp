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

// Required time for a change to reach all nodes.
constexpr milliseconds propagation_limit{6000};

table_edit numbered_edit(const std::uint64_t number) {
    return {.id = {.high = 9, .low = number},
            .created_at = edit_time,
            .changes = {set_row(make_key("/route" + std::to_string(number), "1"), 1)}};
}

void append_edits(fleet& nodes, const std::uint64_t first, const std::uint64_t last) {
    for (auto number = first; number <= last; ++number) {
        BOOST_REQUIRE(nodes.append(numbered_edit(number)));
    }
}

std::size_t count_up_to_date(fleet& nodes) {
    std::size_t current = 0;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        const auto& follower = nodes.follower(index);
        current += follower.ready() && follower.position() == nodes.reference().position() ? 1 : 0;
    }
    return current;
}

// One follower whose outputs are recorded.
struct single_follower {
    invariant_monitor monitor{failing_monitor()};
    counters counts;
    std::vector<node_id> members{node_id{1}, node_id{2}, node_id{3}, node_id{4}, node_id{5}};
    std::size_t reads{};
    milliseconds last_wait{};
    std::size_t appended{};
    std::vector<std::pair<node_id, config_pull>> pulls;
    std::vector<record_batch> sent;
    std::vector<edit_verdict> reported_verdicts;
    steady_time now{std::chrono::hours{1}};
    config_follower follower;

    explicit single_follower(const std::uint64_t id = 1) : follower{options_for(id)} { follower.start(time()); }

    [[nodiscard]] time_sample time() const { return {.steady = now, .wall = edit_time}; }

    void advance(const milliseconds duration) {
        const auto end = now + duration;
        while (follower.next_timer() && *follower.next_timer() <= end) {
            now = std::max(now, *follower.next_timer());
            follower.on_timer(time());
            BOOST_REQUIRE_MESSAGE(*follower.next_timer() > now,
                                  "on_timer did not schedule the next timer in the future");
        }
        now = end;
    }

    config_follower_options options_for(const std::uint64_t id) {
        config_follower_options options;
        options.self = node_id{id};
        options.read_log = [this](log_offset, const milliseconds wait) {
            ++reads;
            last_wait = wait;
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
            reported_verdicts.push_back(verdict);
        };
        options.counts = &counts;
        options.invariants = &monitor;
        return options;
    }

    static std::uint64_t node_id_with_role(const bool relay) {
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

// Guards against members that a push does not reach, and against nodes that send a record too often.
BOOST_AUTO_TEST_CASE(push_tree_reaches_each_member_once_per_relay) {
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

// Guards against reads of the log by nodes that are not relays, and against nodes that send a record too often.
BOOST_AUTO_TEST_CASE(records_are_pushed_in_a_healthy_data_centre) {
    fleet nodes{1, 1, 40};
    nodes.run_for(propagation_limit);
    const auto reads = nodes.log_reads;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        append_edits(nodes, number, number);
        nodes.run_for(milliseconds{1000});
        BOOST_TEST(count_up_to_date(nodes) == nodes.size());
    }
    // Each of the two relays reads again after each of the ten records and every 5 s, when its long poll ends.
    BOOST_TEST(nodes.log_reads - reads <= 2U * (10 + 4));
    BOOST_TEST(nodes.max_sends_per_record() <= internal::push_fan_out);
}

// Guards against lost pushes that are not followed by a pull.
BOOST_AUTO_TEST_CASE(lost_pushes_are_replaced_by_pulls) {
    fleet nodes{2, 1, 20};
    nodes.run_for(propagation_limit);
    nodes.faults.batch_loss_probability = 0.5;
    append_edits(nodes, 1, 10);
    nodes.run_for(propagation_limit);
    BOOST_TEST(count_up_to_date(nodes) == nodes.size());
}

// Guards against a node that needs the log to catch up while the log is down. While the node was paused, more records
// were appended than its peers keep, so a peer has to send the whole state.
BOOST_AUTO_TEST_CASE(paused_node_receives_the_state_from_a_peer) {
    fleet nodes{3, 1, 6};
    nodes.run_for(propagation_limit);
    nodes.pause(5);
    append_edits(nodes, 1, 60);
    nodes.run_for(propagation_limit);
    nodes.faults.log_down = true;
    nodes.resume(5);
    nodes.run_for(propagation_limit);
    BOOST_TEST(nodes.state_transfers > 0U);
    BOOST_TEST(nodes.follower(5).position().value() == nodes.reference().position().value());
}

// Guards against nodes that are ready with an empty table, and against a fleet that needs the log although one node
// still has the state.
BOOST_AUTO_TEST_CASE(nodes_restart_while_the_log_is_down) {
    fleet nodes{4, 1, 6};
    append_edits(nodes, 1, 30);
    nodes.run_for(propagation_limit);
    nodes.faults.log_down = true;
    for (std::size_t index = 1; index < nodes.size(); ++index) {
        nodes.restart(index);
    }
    nodes.run_for(2 * propagation_limit);
    BOOST_TEST(count_up_to_date(nodes) == nodes.size());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        nodes.restart(index);
    }
    nodes.run_for(2 * propagation_limit);
    BOOST_TEST(count_up_to_date(nodes) == 0U);
    nodes.faults.log_down = false;
    nodes.run_for(propagation_limit);
    BOOST_TEST(count_up_to_date(nodes) == nodes.size());
}

// Guards against a log without checkpoints, and against checkpoints written by every node. The first two writers in the
// order of ranks are paused, so that others have to take over.
BOOST_AUTO_TEST_CASE(checkpoints_are_written_by_few_nodes) {
    fleet nodes{5, 2, 5};
    append_edits(nodes, 1, 5);
    nodes.run_for(fleet::retention);
    const auto checkpoints_while_healthy = nodes.checkpoints;
    BOOST_TEST(checkpoints_while_healthy >= 2U);
    BOOST_TEST(checkpoints_while_healthy <= 4U);
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
    BOOST_TEST(nodes.checkpoints - checkpoints_while_healthy >= 2U);
    BOOST_TEST(nodes.checkpoints - checkpoints_while_healthy <= 4U);
}

// Guards against records that are skipped because the batch that contained them was lost.
BOOST_AUTO_TEST_CASE(gap_between_batches_is_closed_by_a_pull) {
    single_follower node;
    node.follower.on_peer_batch(node_id{2}, batch_of(0, 2), node.time());
    node.follower.on_peer_batch(node_id{2}, batch_of(4, 6), node.time());
    BOOST_TEST(node.follower.position().value() == 2U);
    BOOST_TEST(node.counts.drops[drop_reason::batch_gap] == 1U);
    node.advance(milliseconds{500});
    BOOST_REQUIRE(node.pulls.size() == 1U);
    BOOST_TEST(node.pulls.front().second.after.value() == 2U);
    node.follower.on_peer_batch(node_id{2}, batch_of(1, 6), node.time());
    BOOST_TEST(node.follower.position().value() == 6U);
    BOOST_TEST(node.reported_verdicts.size() == 6U);
}

// Guards against a reply that exceeds the size of a frame, and against a truncated batch whose range is too large.
BOOST_AUTO_TEST_CASE(replies_to_pulls_are_limited_in_size) {
    single_follower node;
    node.follower.on_peer_batch(node_id{2}, batch_of(0, 1000), node.time());
    node.sent.clear();
    node.follower.on_pull(node_id{3}, {.after = log_offset{10}}, node.time());
    BOOST_REQUIRE(node.sent.size() == 1U);
    const auto& reply = node.sent.front();
    BOOST_TEST(reply.records.size() < 990U);
    BOOST_TEST(reply.records.front().offset.value() == 11U);
    BOOST_TEST(reply.through.value() == reply.records.back().offset.value());
    single_follower other;
    other.follower.on_peer_batch(node_id{2}, batch_of(0, 10), other.time());
    other.follower.on_peer_batch(node_id{2}, reply, other.time());
    BOOST_TEST(other.follower.position().value() == reply.through.value());
}

// Guards against a damaged state from a peer, and against a state transfer that returns a node to an older state.
BOOST_AUTO_TEST_CASE(state_transfer_is_verified) {
    single_follower source;
    source.follower.on_peer_batch(node_id{2}, batch_of(0, 2000), source.time());
    source.sent.clear();
    source.follower.on_pull(node_id{3}, {.after = log_offset{0}}, source.time());
    BOOST_REQUIRE(source.sent.size() > 1U);
    single_follower node;
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
    BOOST_TEST(node.reported_verdicts.size() == 2000U);
    node.follower.on_peer_batch(node_id{2}, batch_of(2000, 2001), node.time());
    for (const auto& batch : source.sent) {
        node.follower.on_peer_batch(node_id{2}, batch, node.time());
    }
    BOOST_TEST(node.follower.position().value() == 2001U);
}

// Guards against a node that waits forever for peers that do not reply, and against frequent reads of the log.
BOOST_AUTO_TEST_CASE(direct_reads_are_delayed_and_rare) {
    single_follower node{single_follower::node_id_with_role(false)};
    node.advance(milliseconds{2000});
    BOOST_TEST(node.reads == 1U);
    node.follower.on_log_batch(batch_of(0, 5), node.time());
    BOOST_TEST(node.follower.ready());
    node.advance(milliseconds{60'000});
    BOOST_TEST(node.reads == 1U);
    node.follower.on_peer_position(node_id{7}, log_offset{9}, node.time());
    node.advance(milliseconds{2900});
    BOOST_TEST(node.reads == 1U);
    BOOST_TEST(node.pulls.size() >= 2U);
    node.advance(milliseconds{1200});
    BOOST_TEST(node.reads == 2U);
    node.follower.on_log_batch(batch_of(5, 9), node.time());
    node.advance(milliseconds{60'000});
    BOOST_TEST(node.reads == 2U);
}

// Guards against a relay that sends a long poll to a log that does not respond, and so does not notice the end of the
// outage.
BOOST_AUTO_TEST_CASE(failed_read_of_a_relay_is_repeated_without_waiting) {
    single_follower node{single_follower::node_id_with_role(true)};
    node.advance(milliseconds{2000});
    node.follower.on_log_batch(batch_of(0, 1), node.time());
    node.advance(milliseconds{500});
    BOOST_TEST((node.last_wait == default_log_long_poll));
    for (int failure = 0; failure < 3; ++failure) {
        node.follower.on_log_failure(node.time());
        node.advance(milliseconds{3000});
        BOOST_TEST((node.last_wait == milliseconds{}));
    }
    node.follower.on_log_batch(batch_of(1, 2), node.time());
    node.advance(milliseconds{500});
    BOOST_TEST((node.last_wait == default_log_long_poll));
}

// Guards against a relay that reads in a tight loop while the log is down or returns nothing new immediately.
BOOST_AUTO_TEST_CASE(reads_without_result_are_delayed) {
    single_follower node{single_follower::node_id_with_role(true)};
    std::size_t answered = 0;
    for (int step = 0; step < 600; ++step) {
        node.advance(milliseconds{100});
        if (node.reads > answered) {
            answered = node.reads;
            step < 300 ? node.follower.on_log_failure(node.time())
                       : node.follower.on_log_batch(batch_of(0, 0), node.time());
        }
    }
    // 60 s with at most one read every 250 ms, the minimum delay after a read without result.
    BOOST_TEST(node.reads <= 240U);
}

BOOST_AUTO_TEST_SUITE_END()
