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

/** @brief Waits and effects of a `node_directory`; every hook must be set. */
struct node_directory_options {
    std::uint64_t seed{};
    /** @brief First and longest wait after a failed call; doubles in between. */
    std::chrono::milliseconds retry_min{150};
    std::chrono::milliseconds retry_max{1'000};
    /** @brief Time between two reads while no other node is known. */
    std::chrono::milliseconds alone_interval{2'000};
    /** @brief Writes this node's entry to the store. */
    std::function<void()> write_entry;
    /** @brief Reads all entries. */
    std::function<void()> read_entries;
    /** @brief No other live node is known. */
    std::function<bool()> alone;
    /** @brief Takes over the other nodes' addresses. */
    std::function<void(std::vector<node_id>)> found;
};

/**
 * @brief Makes nodes without configured seeds known to each other through the platform's store.
 *
 * Each node writes its entry before it reads the others', so of two nodes that start together one sees the other.
 */
class node_directory {
public:
    explicit node_directory(node_directory_options options);

    void start();
    void on_written(bool confirmed, steady_time now);
    /** @param entries Nothing if the read failed. */
    void on_entries(const std::optional<std::vector<node_id>>& entries, steady_time now);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept { return next_; }

private:
    void retry(steady_time now);

    node_directory_options options_;
    std::mt19937_64 random_;
    std::chrono::milliseconds wait_;
    bool written_{};
    std::optional<steady_time> next_;
};

} // namespace goldcrestwell

#endif
