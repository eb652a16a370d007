#ifndef GOLDCRESTWELL_CORE_NODE_DEPARTURE_LOOKUP_HPP
#define GOLDCRESTWELL_CORE_NODE_DEPARTURE_LOOKUP_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/host_departures.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell {

/** @brief Delays and hooks of a `departure_lookup`; every hook must be set. */
struct departure_lookup_options {
    std::uint64_t seed{};
    /** @brief Time after the start in which the own read of the store is expected to succeed. */
    std::chrono::milliseconds first_query_delay{400};
    /** @brief Interval between queries until one is answered. */
    std::chrono::milliseconds query_interval{300};
    /** @brief Minimum time between two reads for peers. */
    std::chrono::milliseconds min_read_interval{100};
    /** @brief Maximum number of peers that wait for one read of the store. */
    std::size_t max_waiting_peers{64};
    /** @brief Returns the live nodes other than this one. */
    std::function<std::vector<node_id>()> peers;
    std::function<void(node_id to)> send_query;
    std::function<void(node_id to, const std::vector<upstream_departure>& departures)> send_answer;
    /** @brief Reads the departures of hosts from the store; ends with `on_read`. */
    std::function<void(const std::vector<node_id>& hosts)> read;
};

/**
 * @brief Gets the recorded departures of this host from a peer while the store refuses this node.
 *
 * A peer reads the store after it has received the query. All departures that an earlier process of the host has
 * acknowledged were recorded before that, so its answer is complete.
 */
class departure_lookup {
public:
    explicit departure_lookup(departure_lookup_options options);

    /** @brief Starts to ask peers, unless the departures become known soon. */
    void start(steady_time now) { query_at_ = now + options_.first_query_delay; }
    /** @brief Ends the queries, because the departures are known. */
    void stop() { query_at_.reset(); }
    /** @brief Handles a failed read of this node, after which peers are asked at once. */
    void on_own_read_failed(steady_time now);

    void on_query(node_id from, steady_time now);
    /** @brief Handles a finished read; `found` is empty if it failed. */
    void on_read(const std::optional<std::vector<host_departures>>& found);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept;

private:
    void read_for_waiting(steady_time now);

    departure_lookup_options options_;
    std::mt19937_64 random_;
    std::optional<steady_time> query_at_;
    /** @brief Peers whose query arrived after the last read was sent. */
    std::vector<node_id> waiting_;
    bool reading_{};
    steady_time next_read_{};
};

} // namespace goldcrestwell

#endif
