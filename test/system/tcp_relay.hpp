#ifndef GOLDCRESTWELL_TEST_SYSTEM_TCP_RELAY_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_TCP_RELAY_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <chrono>
#include <cstdint>
#include <list>
#include <memory>

struct bufferevent;
struct evconnlistener;

namespace goldcrestwell::test {

/** @brief Direction of bytes through a relay. */
enum class relay_way : std::uint8_t { to_target, to_source };

/** @brief Relays TCP connections from one loopback port to another; can delay, hold, silence or reset them. */
class tcp_relay {
public:
    tcp_relay(event_loop& loop, std::uint16_t port, std::uint16_t target);
    ~tcp_relay();

    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    /** @brief Stops forwarding on all open connections without closing them; new connections are not affected. */
    void silence_open_connections();

    /** @brief Resets all open connections at both ends. */
    void reset_open_connections();

    /** @brief Holds or releases the bytes in one direction, on open and new connections. */
    void hold(relay_way way, bool held);

    /** @brief Forwards bytes after a delay, counted from each read. */
    void set_delay(const std::chrono::milliseconds delay) noexcept { delay_ = delay; }

    /** @brief Returns the number of connections accepted so far. */
    [[nodiscard]] std::size_t accepted() const noexcept { return accepted_; }

private:
    struct handle_deleter {
        void operator()(bufferevent* handle) const noexcept;
        void operator()(evconnlistener* handle) const noexcept;
    };
    using handle = std::unique_ptr<bufferevent, handle_deleter>;

    struct connection_pair {
        tcp_relay* owner{};
        handle source_side;
        handle target_side;
        bool silent{};
        /** @brief False once the connection is closed; checked before a delayed write. */
        std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
    };

    void accept(int descriptor);
    void apply_hold(const connection_pair& entry) const;
    void forward(bufferevent* source, const connection_pair& entry, bufferevent* other);
    static void on_read(bufferevent* source, void* argument);
    static void on_event(bufferevent* source, short events, void* argument);

    event_loop& loop_;
    std::uint16_t target_;
    std::size_t accepted_{};
    std::chrono::milliseconds delay_{};
    bool hold_to_target_{};
    bool hold_to_source_{};
    std::list<std::unique_ptr<timer>> delayed_writes_;
    steady_time last_write_time_{};
    std::list<connection_pair> pairs_;
    std::unique_ptr<evconnlistener, handle_deleter> listener_;
};

} // namespace goldcrestwell::test

#endif
