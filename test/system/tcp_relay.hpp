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

/** @brief Way that bytes take through a relay. */
enum class relay_way : std::uint8_t { to_target, to_source };

/** @brief Passes bytes between a loopback port and another; delays, holds or resets them on demand. */
class tcp_relay {
public:
    tcp_relay(event_loop& loop, std::uint16_t port, std::uint16_t target);
    ~tcp_relay();

    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    /** @brief Passes nothing more on the connections open now and leaves them open; new ones work. */
    void silence_open_connections();

    /** @brief Ends the connections open now with a reset at both ends. */
    void reset_open_connections();

    /** @brief Holds what goes one way, on open and new connections, until it is released. */
    void hold(relay_way way, bool held);

    /** @brief Passes bytes on only after a delay, counted from each read. */
    void set_delay(const std::chrono::milliseconds delay) noexcept { delay_ = delay; }

    /** @return Connections accepted so far. */
    [[nodiscard]] std::size_t accepted() const noexcept { return accepted_; }

private:
    struct handle_deleter {
        void operator()(bufferevent* handle) const noexcept;
        void operator()(evconnlistener* handle) const noexcept;
    };
    using handle = std::unique_ptr<bufferevent, handle_deleter>;

    struct pair {
        tcp_relay* owner{};
        handle front;
        handle back;
        bool silent{};
        /** @brief Tells delayed bytes whether the connection still exists. */
        std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
    };

    void accept(int descriptor);
    void apply_hold(const pair& entry) const;
    void pass(bufferevent* source, const pair& entry, bufferevent* other);
    static void on_read(bufferevent* source, void* argument);
    static void on_event(bufferevent* source, short what, void* argument);

    event_loop& loop_;
    std::uint16_t target_;
    std::size_t accepted_{};
    std::chrono::milliseconds delay_{};
    bool hold_to_target_{};
    bool hold_to_source_{};
    std::list<std::unique_ptr<timer>> delayed_;
    steady_time last_due_{};
    std::list<pair> pairs_;
    std::unique_ptr<evconnlistener, handle_deleter> listener_;
};

} // namespace goldcrestwell::test

#endif
