#ifndef GOLDCRESTWELL_CORE_CONFIG_STORE_FOLLOWER_HPP
#define GOLDCRESTWELL_CORE_CONFIG_STORE_FOLLOWER_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/store_page.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>

namespace goldcrestwell {

/** @brief Waits and effects of a `store_follower`; every hook must be set. */
struct store_follower_options {
    std::uint64_t seed{};
    /** @brief Longest wait of a read for new records; the store allows 30 s. */
    std::chrono::milliseconds long_poll{20'000};
    /** @brief First and longest wait after a failed read; doubles in between. */
    std::chrono::milliseconds retry_min{150};
    std::chrono::milliseconds retry_max{1'000};
    /** @brief Pause after a read that brought nothing. */
    std::chrono::milliseconds empty_pause{20};
    /** @brief Longest pause of a node that need not read each change at once. */
    std::chrono::milliseconds standby_pause{};
    /** @brief Interval at which a node on standby checks whether it still hears from others. */
    std::chrono::milliseconds standby_check{500};
    /** @brief True if this node reads each change at once; if empty, it does. */
    std::function<bool()> prompt;
    /** @brief True if other nodes were heard lately, so that they bring each change; if empty, they do not. */
    std::function<bool()> informed;
    /** @brief Reads the newest record of each key. */
    std::function<void()> read_newest;
    /** @brief Reads the records after a position, waiting for new ones. */
    std::function<void(log_offset after, std::chrono::milliseconds wait)> read_after;
    /** @brief Records were read. */
    std::function<void(const store_page&)> received;
    /** @brief The store was lost (false) or answers again (true). */
    std::function<void(bool reachable)> reachable_changed;
};

/**
 * @brief Follows the operators' topic: the newest records first, then a long poll for each change.
 *
 * Each read of each node is a call to the store. A node on standby reads nothing while it hears from other nodes, which
 * bring each change; while it hears from none, it pauses after a read that brought news, so that a series of changes
 * costs it a few calls.
 */
class store_follower {
public:
    explicit store_follower(store_follower_options options);

    void start();
    void on_page(const store_page& page, steady_time now);
    /** @brief Records up to that position came from another node. */
    void advance(log_offset position);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept { return retry_; }
    /** @return True if the last read succeeded. */
    [[nodiscard]] bool reachable() const noexcept { return reachable_; }

private:
    void read();
    void pause(std::chrono::milliseconds longest, steady_time now);
    [[nodiscard]] bool on_standby() const { return options_.prompt && !options_.prompt(); }
    void set_reachable(bool reachable);

    store_follower_options options_;
    std::mt19937_64 random_;
    /** @brief Position read to; nothing until the newest records were read. */
    std::optional<log_offset> position_;
    std::chrono::milliseconds wait_;
    std::optional<steady_time> retry_;
    bool reachable_{};
};

} // namespace goldcrestwell

#endif
