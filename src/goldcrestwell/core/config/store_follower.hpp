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

/** @brief Default time for which a read waits for new records. */
inline constexpr std::chrono::milliseconds default_store_long_poll{2'500};

/**
 * @brief Default time for which a read of the first reader of a data centre waits.
 *
 * A response that was lost is noticed only after this time and the timeout of a call. Together they have to be shorter
 * than the 3 s after a fault of the store in which the nodes must be up to date again, with time left for the next read
 * and for the other nodes, which then pull the records.
 */
inline constexpr std::chrono::milliseconds default_store_short_poll{1'200};

/** @brief Delays and hooks of a `store_follower`; hooks must be set unless stated otherwise. */
struct store_follower_options {
    /** @brief Seed of the random generator for delays. */
    std::uint64_t seed{};
    /** @brief Time for which a read waits for new records; see `default_store_long_poll`. */
    std::chrono::milliseconds long_poll{default_store_long_poll};
    /** @brief Time for which a read waits if `polls_briefly` holds; see `default_store_short_poll`. */
    std::chrono::milliseconds short_poll{default_store_short_poll};
    /** @brief Checks whether reads wait for `short_poll`; if empty, they do not. */
    std::function<bool()> polls_briefly;
    /** @brief Bounds of the delay after a failed read; it doubles with each failure. */
    std::chrono::milliseconds min_retry_delay{150};
    std::chrono::milliseconds max_retry_delay{1'000};
    /** @brief Delay after a read without new records. */
    std::chrono::milliseconds empty_read_delay{20};
    /** @brief Maximum delay on standby after a read with new records. */
    std::chrono::milliseconds max_standby_read_interval{};
    /** @brief Time after the start in which the first records may come from peers; zero reads the store at once. */
    std::chrono::milliseconds max_peer_wait{};
    /** @brief Time after the start in which peers with records are found. */
    std::chrono::milliseconds peer_discovery_time{400};
    /** @brief Checks whether records from a peer are expected; if empty, none are. */
    std::function<bool()> expects_peer_records;
    /** @brief Interval at which a node on standby checks whether it still receives data from peers. */
    std::chrono::milliseconds standby_check_interval{500};
    /** @brief Checks whether this node reads each change immediately; if not, it is on standby. If empty, it does. */
    std::function<bool()> reads_immediately;
    /** @brief Checks whether peers, which send each change, recently sent data to this node; if empty, they did not. */
    std::function<bool()> has_recent_peer_data;
    /** @brief Reads the newest record of each key. */
    std::function<void()> read_newest;
    /** @brief Reads the records after a position; waits for new ones. */
    std::function<void(log_offset after, std::chrono::milliseconds wait)> read_after;
    /** @brief Reports a page that was read. */
    std::function<void(const store_page&)> page_received;
    /** @brief Reports that the store became reachable or unreachable. */
    std::function<void(bool reachable)> reachable_changed;
};

/**
 * @brief Follows the topic of operator records: reads the newest records first, then long-polls for each change.
 *
 * A position holds only in the history of the store in which it was read. If a read is answered from another one, its
 * records are dropped, because others may precede them, and the newest records are read again.
 *
 * After a failed read it reads without waiting until a read succeeds, because a long poll to a store that does not
 * respond would hide the end of the outage.
 *
 * A node that has just started receives the newest records from a peer if there is one; otherwise it reads them itself.
 * To keep the load of the store low, a node on standby does not read while it receives data from peers, because they
 * send it each change. While it receives none, it delays the next read after one that returned records, so that a
 * series of changes needs few reads.
 */
class store_follower {
public:
    explicit store_follower(store_follower_options options);

    void start(steady_time now);
    /** @brief Handles a call to the store that succeeded, other than a read of this topic. */
    void on_store_contact() { set_reachable(true); }
    /** @brief Handles the result of the outstanding read. */
    void on_page(const store_page& page, steady_time now);
    /** @brief Raises the position after records up to it were received from a peer. */
    void advance_to(log_offset position);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept { return next_read_at_; }
    /** @return True if the last call to the store succeeded, false otherwise. */
    [[nodiscard]] bool reachable() const noexcept { return reachable_; }

private:
    void read();
    /** @return Time for which the next read waits for new records. */
    [[nodiscard]] std::chrono::milliseconds poll_time() const;
    /** @return True if a page belongs to another history than the request and was dropped. */
    [[nodiscard]] bool drop_if_replaced(const store_page& page, steady_time now);
    [[nodiscard]] bool awaits_peer_records(steady_time now) const;
    void schedule_read(std::chrono::milliseconds max_delay, steady_time now);
    [[nodiscard]] bool is_on_standby() const { return options_.reads_immediately && !options_.reads_immediately(); }
    void set_reachable(bool reachable);

    store_follower_options options_;
    std::mt19937_64 random_;
    /** @brief Position up to which the topic was read; empty until the newest records were read. */
    std::optional<log_offset> position_;
    /** @brief Position of the outstanding read; empty for a read of the newest records. */
    std::optional<log_offset> requested_;
    std::chrono::milliseconds retry_delay_;
    std::optional<steady_time> next_read_at_;
    /** @brief Time until which the first records may come from peers. */
    steady_time peer_wait_ends_{};
    bool last_read_failed_{};
    bool reachable_{};
};

} // namespace goldcrestwell

#endif
