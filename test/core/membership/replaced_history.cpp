#include "goldcrestwell/core/membership/node_directory.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

// Rates of the platform's store for the whole fleet.
constexpr std::size_t max_reads_per_second = 2'000;
constexpr std::size_t max_writes_per_second = 400;
constexpr milliseconds max_recovery{5'000};

/** @brief Fleet whose store returns from a copy without any entry, in virtual time. */
class fleet {
public:
    fleet(const std::uint32_t size, const std::uint64_t seed) : random_{seed} {
        for (std::uint32_t address = 1; address <= size; ++address) {
            const node_id id{address, 7000};
            entries_.insert(id);
            nodes_[id] = std::make_unique<node_directory>(
                node_directory_options{.self = id,
                                       .seed = seed * 1'000 + address,
                                       .write_node_entry =
                                           [this, id] {
                                               writes.push_back(now_);
                                               calls_.insert({now_ + delay(20), {id, true}});
                                           },
                                       .read_node_directory =
                                           [this, id] {
                                               reads.push_back(now_);
                                               calls_.insert({now_ + delay(20), {id, false}});
                                           },
                                       .is_isolated = [] { return false; },
                                       .is_urgent = [] { return false; },
                                       .nodes_discovered =
                                           [](const std::vector<node_id>&) {
                                           }});
            nodes_[id]->start();
        }
        run(milliseconds{500});
        reads.clear();
        writes.clear();
    }

    /** @brief Replaces the history; the nodes learn of it from peers, repeatedly, until they have read. */
    void replace_history() {
        entries_.clear();
        calls_.clear();
        informed_.clear();
        replaced_at_ = now_;
        for (const auto& [id, directory] : nodes_) {
            const auto learned = now_ + delay(400);
            for (int report = 0; report < 3; ++report) {
                reports_.insert({learned + report * milliseconds{200}, id});
            }
        }
    }

    void run(const milliseconds time) {
        for (const auto end = now_ + time; now_ < end; now_ += milliseconds{1}) {
            while (!reports_.empty() && reports_.begin()->first <= now_) {
                const auto id = reports_.extract(reports_.begin()).mapped();
                if (!informed_.contains(id)) {
                    nodes_[id]->on_history_replaced(now_);
                }
            }
            while (!calls_.empty() && calls_.begin()->first <= now_) {
                const auto [id, is_write] = calls_.extract(calls_.begin()).mapped();
                informed_.insert(id);
                if (is_write) {
                    if (entries_.insert(id).second) {
                        recovery = std::chrono::duration_cast<milliseconds>(now_ - replaced_at_);
                    }
                    nodes_[id]->on_written(true, now_);
                } else {
                    nodes_[id]->on_node_directory_read(std::vector<node_id>{entries_.begin(), entries_.end()}, now_);
                }
            }
            for (const auto& [id, directory] : nodes_) {
                directory->on_timer(now_);
            }
        }
    }

    [[nodiscard]] std::size_t entry_count() const { return entries_.size(); }

    /** @return Most calls within a second. */
    [[nodiscard]] static std::size_t peak_rate(const std::vector<steady_time>& calls) {
        std::size_t peak = 0;
        for (auto first = calls.begin(); first != calls.end(); ++first) {
            const auto end = std::ranges::lower_bound(calls, *first + std::chrono::seconds{1});
            peak = std::max(peak, static_cast<std::size_t>(end - first));
        }
        return peak;
    }

    std::vector<steady_time> reads;
    std::vector<steady_time> writes;
    /** @brief Time from the return of the store to the last entry. */
    milliseconds recovery{};

private:
    [[nodiscard]] milliseconds delay(const int max) {
        return milliseconds{std::uniform_int_distribution{1, max}(random_)};
    }

    std::mt19937_64 random_;
    steady_time now_{std::chrono::seconds{10}};
    steady_time replaced_at_{};
    std::set<node_id> entries_;
    /** @brief Nodes with a result of the present history, which peers do not report to them any more. */
    std::set<node_id> informed_;
    /** @brief Calls by the time of their results; true for a write. */
    std::multimap<steady_time, std::pair<node_id, bool>> calls_;
    std::multimap<steady_time, node_id> reports_;
    std::map<node_id, std::unique_ptr<node_directory>> nodes_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(node_directory_after_a_replaced_history)

// Load: a fleet of any size loses all of its entries. Guards against calls of all nodes at the same moment.
BOOST_AUTO_TEST_CASE(fleet_restores_its_entries_below_the_rates_of_the_store) {
    for (const std::uint32_t size : {12U, 87U, 300U}) {
        std::size_t peak_reads = 0;
        std::size_t peak_writes = 0;
        milliseconds recovery{};
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            fleet nodes{size, seed};
            nodes.replace_history();
            nodes.run(max_recovery);
            BOOST_TEST(nodes.entry_count() == size, "seed " << seed);
            BOOST_TEST(nodes.reads.size() == size, "seed " << seed);
            BOOST_TEST(nodes.writes.size() == size, "seed " << seed);
            peak_reads = std::max(peak_reads, fleet::peak_rate(nodes.reads));
            peak_writes = std::max(peak_writes, fleet::peak_rate(nodes.writes));
            recovery = std::max(recovery, nodes.recovery);
        }
        BOOST_TEST_MESSAGE(size << " nodes: at most " << peak_reads << " reads and " << peak_writes
                                << " writes a second, last entry after " << recovery.count() << " ms");
        BOOST_TEST(peak_reads < max_reads_per_second);
        BOOST_TEST(peak_writes < max_writes_per_second);
        BOOST_TEST((recovery > milliseconds{} && recovery < max_recovery));
    }
}

BOOST_AUTO_TEST_SUITE_END()
