#ifndef GOLDCRESTWELL_TEST_CORE_NODE_FAKE_NETWORK_HPP
#define GOLDCRESTWELL_TEST_CORE_NODE_FAKE_NETWORK_HPP

#include "core/node/virtual_time.hpp"
#include "goldcrestwell/core/message/datagram.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace goldcrestwell::test {

/** @brief Hooks that connect the network to the hosts, which are identified by index. */
struct network_hooks {
    std::function<void(std::size_t to, std::size_t from, const peer_message& message)> frame_arrived;
    std::function<void(std::size_t to, const datagram& message)> datagram_arrived;
    std::function<void(std::size_t host, std::size_t peer)> peer_lost;
    std::function<bool(std::size_t host)> running;
    std::function<std::size_t(std::size_t host)> region_of;
    /** @brief Returns the start incarnation of the process on a host; a restart increases it. */
    std::function<std::uint64_t(std::size_t host)> start_incarnation_of;
};

/** @brief Simulated network with one TCP connection per pair of hosts and with datagrams, both with faults. */
class fake_network {
public:
    fake_network(virtual_time& time, std::uint64_t seed, network_hooks hooks);

    void send_frame(std::size_t from, std::size_t to, const peer_message& message);
    void send_datagram(std::size_t from, std::size_t to, const datagram& message);
    /** @brief Closes the connection of a host to a peer and opens a new one. */
    void replace(std::size_t from, std::size_t to);

    /** @brief Resets a connection: both ends are notified, and frames in transit are lost. */
    void reset(std::size_t one, std::size_t other);
    /** @brief Makes a connection drop most frames and deliver the others late, without notifying its ends. */
    void make_silent(std::size_t one, std::size_t other);
    void set_partitioned(const bool partitioned) { partitioned_ = partitioned; }
    /** @brief Stops losing, repeating and delaying datagrams. */
    void end_datagram_faults() { datagram_faults_ = false; }

    [[nodiscard]] bool partitioned() const noexcept { return partitioned_; }
    [[nodiscard]] bool connected(std::size_t one, std::size_t other) const;

private:
    struct link {
        std::uint64_t epoch{};
        bool open{};
        bool silent{};
        /** @brief Start incarnations at the two ends; a restarted process does not have the old connection. */
        std::array<std::uint64_t, 2> start_incarnations{};
        /** @brief Host that opened the connection, and the time at which the other end accepts it. */
        std::size_t opened_by{};
        steady_time accepted_at{};
        std::array<steady_time, 2> last_arrival{};
    };

    link& link_between(std::size_t one, std::size_t other);
    void open(std::size_t from, std::size_t to);
    void deliver_in_order(link& active_link, std::size_t from, std::size_t to, const peer_message& message);
    void deliver_late(std::size_t from, std::size_t to, const peer_message& message);
    void report_lost(std::size_t host, std::size_t peer, std::chrono::microseconds delay);
    void time_out(std::size_t host, std::size_t peer);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] std::chrono::microseconds random_delay(std::chrono::microseconds min_delay,
                                                         std::chrono::microseconds max_delay);

    virtual_time& time_;
    std::mt19937_64 random_;
    network_hooks hooks_;
    std::map<std::pair<std::size_t, std::size_t>, link> links_;
    bool partitioned_{};
    bool datagram_faults_{true};
};

} // namespace goldcrestwell::test

#endif
