// Readers and standby nodes of two data centres follow a store that returns from older copies, in virtual time.

#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/core/config/document_register.hpp"
#include "goldcrestwell/core/config/store_follower.hpp"
#include "goldcrestwell/core/config/store_history.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds call_timeout{1'500};
constexpr milliseconds latency{10};
constexpr milliseconds gossip_interval{150};
// Rules bind a node that had a stable store for this time; a change is then to be applied within the next one.
constexpr milliseconds contact_time{3'000};
constexpr milliseconds apply_time{2'000};

struct virtual_clock {
    steady_time now{std::chrono::hours{1}};
    std::multimap<steady_time, std::function<void()>> tasks;

    void after(const milliseconds delay, std::function<void()> task) { tasks.emplace(now + delay, std::move(task)); }
    void run_for(const milliseconds duration) {
        const auto end = now + duration;
        while (!tasks.empty() && tasks.begin()->first <= end) {
            auto next = tasks.extract(tasks.begin());
            now = next.key();
            next.mapped()();
        }
        now = end;
    }
};

/** @brief Topic with one key, whose records are versions of the configuration. */
struct model_store {
    store_era era{1};
    std::vector<std::uint64_t> versions;
    bool away{};

    [[nodiscard]] log_offset end() const { return make_store_offset(era, static_cast<std::uint32_t>(versions.size())); }
    [[nodiscard]] operator_record record(const std::size_t index) const {
        return {.offset = make_store_offset(era, static_cast<std::uint32_t>(index + 1)),
                .key = "config",
                .payload = std::to_string(versions[index])};
    }
    [[nodiscard]] store_page newest() const {
        store_page page{.outcome = read_outcome::ok, .end = end()};
        if (!versions.empty()) {
            page.records.push_back(record(versions.size() - 1));
        }
        return page;
    }
    [[nodiscard]] store_page page_after(const std::size_t from) const {
        if (from > versions.size()) {
            return {.outcome = read_outcome::expired, .end = make_store_offset(era, 0)};
        }
        store_page page{.outcome = read_outcome::ok, .end = end()};
        for (auto index = from; index < versions.size(); ++index) {
            page.records.push_back(record(index));
        }
        return page;
    }
};

struct scenario {
    explicit scenario(const std::uint64_t seed) : random{seed} {
        for (std::uint32_t index = 0; index < node_count; ++index) {
            nodes.push_back(std::make_unique<model_node>(*this, index));
        }
    }

    struct model_node {
        model_node(scenario& owner, const std::uint32_t number) : world{owner}, index{number} { start(); }

        // A restart forgets everything; what is on the way to the earlier process is lost.
        void start() {
            ++life;
            version = 0;
            history = std::make_unique<store_history>(store_history_options{.replaced = [](store_era, store_era) {},
                                                                            .stale_response =
                                                                                [](store_era, store_era) {
                                                                                }});
            documents = std::make_unique<document_register>(document_register_options{
                .is_in_same_data_centre = [this](const node_id other) { return other.port() % 2 == index % 2; },
                .is_on_standby = [this] { return !is_reader(); },
                .send_pull = [this](const node_id to, const document_pull& pull) { world.send_pull(*this, to, pull); },
                .send_batch = [this](const node_id to, const document_batch& batch) { world.send_batch(to, batch); },
                .record_changed =
                    [this](const operator_record& record) {
                        return apply(record);
                    }});
            follower = std::make_unique<store_follower>(store_follower_options{
                .seed = index,
                .max_standby_read_interval = milliseconds{1'400},
                .max_peer_wait = milliseconds{1'500},
                .expects_peer_records = [this] { return documents->is_pull_pending(); },
                .reads_immediately = [this] { return is_reader(); },
                .has_recent_peer_data = [] { return true; },
                .read_newest = [this] { world.read(*this, std::nullopt, {}); },
                .read_after = [this](const log_offset after,
                                     const milliseconds wait) { world.read(*this, after, wait); },
                .page_received = [this](const store_page& page) { documents->on_records(page.records, page.end); },
                .reachable_changed =
                    [](bool) {
                    }});
            follower->start(world.clock.now);
        }
        [[nodiscard]] bool is_reader() const { return index < 6; }
        bool apply(const operator_record& record) {
            const auto candidate = std::stoull(record.payload);
            if (candidate < version) {
                return false;
            }
            version = candidate;
            return true;
        }
        void finish(store_page page) {
            if (page.outcome != read_outcome::failed && !history->on_response(era_of(page.end))) {
                page = {.outcome = read_outcome::failed};
            }
            follower->on_page(page, world.clock.now);
        }

        scenario& world;
        std::uint32_t index;
        int life{};
        bool cut_off{};
        std::size_t read_count{};
        std::uint64_t version{};
        std::unique_ptr<store_history> history;
        std::unique_ptr<document_register> documents;
        std::unique_ptr<store_follower> follower;
    };

    struct pending_read {
        model_node* reader{};
        int life{};
        std::optional<log_offset> after;
        steady_time expires;
    };

    static constexpr std::uint32_t node_count = 8;

    std::uint64_t number(const std::uint64_t below) { return random() % below; }
    milliseconds duration(const milliseconds below) {
        return milliseconds{static_cast<milliseconds::rep>(number(static_cast<std::uint64_t>(below.count())))};
    }

    void reply(const pending_read& read, const store_page& page, const milliseconds delay) {
        clock.after(delay, [this, read, page] {
            if (read.reader->life == read.life) {
                read.reader->finish(page);
            }
        });
    }
    void read(model_node& node, const std::optional<log_offset> after, const milliseconds wait) {
        ++node.read_count;
        const pending_read request{
            .reader = &node, .life = node.life, .after = after, .expires = clock.now + latency + wait};
        if (store.away || node.cut_off) {
            // Connections are refused, or the store stays silent.
            reply(request, {}, number(2) == 0 ? latency : wait + call_timeout);
            return;
        }
        if (!after) {
            reply(request, store.newest(), latency);
            return;
        }
        const std::size_t from = number_of(*after);
        if (from != store.versions.size() || wait == milliseconds{}) {
            reply(request, store.page_after(from), latency);
            return;
        }
        polls.push_back(request);
        clock.after(latency + wait, [this] { expire_polls(); });
    }
    void expire_polls() {
        std::erase_if(polls, [this](const pending_read& poll) {
            const auto is_over = poll.expires <= clock.now;
            if (is_over) {
                reply(poll, store.page_after(number_of(*poll.after)), latency);
            }
            return is_over;
        });
    }
    void write(const std::uint64_t version) {
        store.versions.push_back(version);
        std::erase_if(polls, [this](const pending_read& poll) {
            const auto page = store.page_after(number_of(*poll.after));
            if (page.records.empty()) {
                return false;
            }
            // An answer may be held up for as long as the caller waits.
            reply(poll, page, number(8) == 0 ? duration(call_timeout) : latency);
            return true;
        });
    }
    // Each poll is lost, reset, or goes on in the new history.
    void leave() {
        store.away = true;
        std::erase_if(polls, [this](const pending_read& poll) {
            const auto fate = number(3);
            if (fate == 0) {
                reply(poll, {}, latency);
            } else if (fate == 1) {
                reply(poll, {}, std::chrono::duration_cast<milliseconds>(poll.expires - clock.now) + call_timeout);
            }
            return fate != 2;
        });
    }
    void return_from_copy(const std::size_t lost_records) {
        store.away = false;
        store.era = store_era{store.era.value() + 1};
        store.versions.resize(store.versions.size() - std::min(lost_records, store.versions.size()));
    }

    void send_pull(model_node& from, const node_id to, const document_pull& pull) {
        clock.after(latency, [this, sender = from.index, to, pull] {
            nodes[to.port()]->documents->on_pull(id_of(sender), pull);
        });
    }
    void send_batch(const node_id to, const document_batch& batch) {
        clock.after(latency, [this, to, batch] {
            auto& receiver = *nodes[to.port()];
            receiver.documents->on_batch(batch);
            receiver.follower->advance_to(receiver.documents->position());
        });
    }
    static node_id id_of(const std::uint32_t index) { return {1, static_cast<std::uint16_t>(index)}; }
    void gossip() {
        for (const auto& node : nodes) {
            if (number(10) == 0 || node->documents->position() == log_offset{}) {
                continue;
            }
            const auto to = number(node_count);
            clock.after(latency, [this, from = node->index, to, position = node->documents->position()] {
                nodes[to]->documents->on_peer_position(id_of(from), position, clock.now);
            });
        }
        clock.after(gossip_interval, [this] { gossip(); });
    }
    void tick() {
        for (const auto& node : nodes) {
            node->documents->on_timer(clock.now);
            node->follower->on_timer(clock.now);
        }
        clock.after(latency, [this] { tick(); });
    }
    /** @brief Runs step by step and requires that no node goes back to an older version. */
    void run_for(const milliseconds time) {
        for (milliseconds passed{}; passed < time; passed += latency) {
            std::vector<std::uint64_t> before;
            for (const auto& node : nodes) {
                before.push_back(node->version);
            }
            clock.run_for(latency);
            for (const auto& node : nodes) {
                BOOST_TEST_REQUIRE(node->version >= before[node->index]);
            }
        }
    }
    void require_in_force(const std::uint64_t version, const std::string& when) {
        for (const auto& node : nodes) {
            BOOST_TEST_REQUIRE(node->version == version, "node " << node->index << " " << when);
        }
    }

    std::mt19937_64 random;
    virtual_clock clock;
    model_store store;
    std::vector<pending_read> polls;
    std::vector<std::unique_ptr<model_node>> nodes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(returns_of_the_store)

// Guards against a version that some node applies late or never, and against a node that goes back to an older one,
// when the store returns from a copy: with polls open, offsets given out again before or after the next read, late
// answers, nodes that are cut off or restarted, and returns in series.
BOOST_AUTO_TEST_CASE(each_version_is_in_force_in_time_after_random_returns) {
    constexpr std::uint64_t seeds = 150;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        scenario world{seed};
        std::uint64_t version = 0;
        world.gossip();
        world.tick();
        world.write(++version);
        world.run_for(std::chrono::seconds{3});
        for (int round = 0; round < 4; ++round) {
            const auto writes = 1 + world.number(6);
            for (std::uint64_t i = 0; i < writes; ++i) {
                world.write(++version);
                world.run_for(world.duration(milliseconds{600}));
            }
            for (const auto& node : world.nodes) {
                node->cut_off = world.number(4) == 0;
            }
            const auto returns = 1 + world.number(2);
            for (std::uint64_t i = 0; i < returns; ++i) {
                world.leave();
                world.run_for(world.duration(milliseconds{3'000}));
                world.return_from_copy(world.number(writes + 1));
                if (world.number(3) == 0) {
                    world.nodes[world.number(scenario::node_count)]->start();
                }
                // The operator writes on, at once or some time later.
                const auto more = world.number(5);
                for (std::uint64_t written = 0; written < more; ++written) {
                    world.write(++version);
                }
                world.run_for(world.duration(milliseconds{1'000}));
            }
            for (const auto& node : world.nodes) {
                node->cut_off = false;
            }
            world.run_for(contact_time);
            world.write(++version);
            world.run_for(apply_time);
            world.require_in_force(version, "in round " + std::to_string(round) + ", seed " + std::to_string(seed));
        }
        const auto seconds =
            std::chrono::duration<double>(world.clock.now - steady_time{std::chrono::hours{1}}).count();
        for (const auto& node : world.nodes) {
            BOOST_TEST(static_cast<double>(node->read_count) < 10 * seconds, "reads of node " << node->index);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
