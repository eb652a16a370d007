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

/** @brief What the network needs of the hosts, by index. */
struct network_hooks {
    std::function<void(std::size_t to, std::size_t from, const peer_message& message)> frame_arrived;
    std::function<void(std::size_t to, const datagram& message)> datagram_arrived;
    std::function<void(std::size_t host, std::size_t peer)> peer_lost;
    std::function<bool(std::size_t host)> running;
    std::function<std::size_t(std::size_t host)> region_of;
    /** @brief Number of the process on a host; a restart raises it. */
    std::function<std::uint64_t(std::size_t host)> start_incarnation_of;
};

/** @brief One TCP connection at a time between two hosts, and datagrams; both with faults. */
class fake_network {
public:
    fake_network(virtual_time& time, std::uint64_t seed, network_hooks hooks);

    void send_frame(std::size_t from, std::size_t to, const peer_message& message);
    void send_datagram(std::size_t from, std::size_t to, const datagram& message);
    /** @brief The host closes its connection to the peer and opens a new one. */
    void replace(std::size_t from, std::size_t to);

    /** @brief Resets the connection; both ends hear of it, and what is on its way is lost. */
    void reset(std::size_t one, std::size_t other);
    /** @brief The connection carries nothing any more, and nobody is told. */
    void silence(std::size_t one, std::size_t other);
    void set_cut(const bool cut) { cut_ = cut; }
    /** @brief From now on datagrams are neither lost, nor repeated, nor late. */
    void end_datagram_faults() { datagram_faults_ = false; }

    [[nodiscard]] bool cut() const noexcept { return cut_; }
    [[nodiscard]] bool connected(std::size_t one, std::size_t other) const;

private:
    struct link {
        std::uint64_t epoch{};
        bool open{};
        bool silent{};
        /** @brief Processes at the two ends; a new process knows nothing of the old one's connections. */
        std::array<std::uint64_t, 2> lives{};
        /** @brief End that opened the connection last, and when the other end has heard of it. */
        std::size_t opened_by{};
        steady_time known_at{};
        std::array<steady_time, 2> last_arrival{};
    };

    link& between(std::size_t one, std::size_t other);
    void open(std::size_t from, std::size_t to);
    void deliver_in_order(link& used, std::size_t from, std::size_t to, const peer_message& message);
    void deliver_late(std::size_t from, std::size_t to, const peer_message& message);
    void report_lost(std::size_t host, std::size_t peer, std::chrono::microseconds delay);
    void time_out(std::size_t host, std::size_t peer);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] std::chrono::microseconds between_times(std::chrono::microseconds shortest,
                                                          std::chrono::microseconds longest);

    virtual_time& time_;
    std::mt19937_64 random_;
    network_hooks hooks_;
    std::map<std::pair<std::size_t, std::size_t>, link> links_;
    bool cut_{};
    bool datagram_faults_{true};
};

} // namespace goldcrestwell::test

#endif
