#ifndef GOLDCRESTWELL_TEST_SYSTEM_TCP_RELAY_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_TCP_RELAY_HPP

#include "goldcrestwell/shell/event_loop.hpp"

#include <cstdint>
#include <list>
#include <memory>

struct bufferevent;
struct evconnlistener;

namespace goldcrestwell::test {

/** @brief Passes bytes between a loopback port and another; its open connections can go silent for good. */
class tcp_relay {
public:
    tcp_relay(event_loop& loop, std::uint16_t port, std::uint16_t target);
    ~tcp_relay();

    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    /** @brief Passes nothing more on the connections open now and leaves them open; new ones work. */
    void silence_open_connections();

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
    };

    void accept(int descriptor);
    static void on_read(bufferevent* source, void* argument);
    static void on_event(bufferevent* source, short what, void* argument);

    event_loop& loop_;
    std::uint16_t target_;
    std::size_t accepted_{};
    std::list<pair> pairs_;
    std::unique_ptr<evconnlistener, handle_deleter> listener_;
};

} // namespace goldcrestwell::test

#endif
