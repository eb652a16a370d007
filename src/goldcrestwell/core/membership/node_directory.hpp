#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_NODE_DIRECTORY_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_NODE_DIRECTORY_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell {

/** @brief Settings and hooks of `node_directory`; every hook must be set. */
struct node_directory_options {
    node_id self;
    std::uint64_t seed{};
    /** @brief Delay before the first retry of a failed call; doubles up to the maximum. */
    std::chrono::milliseconds min_retry_delay{150};
    std::chrono::milliseconds max_retry_delay{1'000};
    /** @brief Delay before a retry while other live nodes are known, which spread the news about this node. */
    std::chrono::milliseconds connected_retry_delay{10'000};
    /** @brief Delay after the first write; nodes that started at the same moment have written their entries by then. */
    std::chrono::milliseconds new_entry_delay{200};
    /** @brief Interval between reads while no other live node is known. */
    std::chrono::milliseconds isolated_read_interval{2'000};
    /** @brief Longest delay before the directory is read again after the history of the store was replaced. */
    std::chrono::milliseconds max_check_delay{2'000};
    /** @brief Writes this node's entry to the store. */
    std::function<void()> write_node_entry;
    /** @brief Reads the entries of all nodes from the store. */
    std::function<void()> read_node_directory;
    /** @brief Checks whether no other live node is known. */
    std::function<bool()> is_isolated;
    /** @brief Checks whether another part of the node waits for the first read; a failed one is then repeated soon. */
    std::function<bool()> is_urgent;
    /** @brief Called with the nodes whose entries were read. */
    std::function<void(std::vector<node_id>)> nodes_discovered;
};

/**
 * @brief Discovers other nodes through the platform's store, for nodes without configured seeds.
 *
 * The entry of a node is permanent, so a node reads the directory first and writes only if its own entry is missing.
 * Two nodes that start at the same time may both read before either has written; a node that knows no other live node
 * therefore reads again. All others are connected: of two groups of nodes, each of which found an earlier writer, the
 * node that read last found members of both.
 *
 * A store that returns from an older copy may have lost the entry; each node then reads the directory again.
 */
class node_directory {
public:
    explicit node_directory(node_directory_options options);

    void start();
    void on_written(bool confirmed, steady_time now);
    /** @param entries Nodes with an entry, or nothing if the read failed. */
    void on_node_directory_read(const std::optional<std::vector<node_id>>& entries, steady_time now);
    /** @brief Schedules a read that checks whether the entry of this node was lost; may be called repeatedly. */
    void on_history_replaced(steady_time now);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept;

private:
    void read();
    [[nodiscard]] steady_time next_retry(steady_time now);
    [[nodiscard]] std::chrono::milliseconds random_delay(std::chrono::milliseconds min, std::chrono::milliseconds max);
    [[nodiscard]] bool is_check_due(steady_time now) const noexcept;

    node_directory_options options_;
    std::mt19937_64 random_;
    std::chrono::milliseconds retry_delay_;
    bool directory_read_{};
    bool entry_written_{};
    bool read_in_flight_{};
    /** @brief True if the read in flight started after the history was replaced. */
    bool check_in_flight_{};
    std::optional<steady_time> next_call_;
    std::optional<steady_time> next_check_;
};

} // namespace goldcrestwell

#endif
