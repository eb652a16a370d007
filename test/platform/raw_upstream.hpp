#ifndef GOLDCRESTWELL_TEST_PLATFORM_RAW_UPSTREAM_HPP
#define GOLDCRESTWELL_TEST_PLATFORM_RAW_UPSTREAM_HPP

#include "goldcrestwell/shell/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace goldcrestwell::test {

/** @brief Upstream on a loopback port that sends arbitrary bytes in response to requests without a body. */
class raw_upstream {
public:
    /** @brief Connection on which a request arrived. */
    class connection {
    public:
        connection(raw_upstream& owner, bufferevent* handle) : owner_{owner}, handle_{handle} {}

        /** @return Number of the connection, in the order in which the upstream accepted them. */
        [[nodiscard]] std::size_t number() const { return owner_.connections_.at(handle_).number; }
        void write(std::string_view bytes) const;
        /** @brief Writes the bytes again and again until the other side closes the connection. */
        void write_without_end(std::string bytes) const;
        /** @brief Leaves the rest of the request unread. */
        void stop_reading() const;
        void reset() const;
        /** @brief Closes the connection after the bytes were written. */
        void write_and_close(std::string_view bytes) const;
        /** @brief Resets the connection after the bytes were written. */
        void write_and_reset(std::string_view bytes) const;

    private:
        raw_upstream& owner_;
        bufferevent* handle_;
    };
    using request_hook = std::function<void(const std::string& id, const connection& from)>;

    raw_upstream(event_loop& loop, std::uint16_t port, request_hook on_request);
    ~raw_upstream();

    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;

    [[nodiscard]] std::size_t open_connections() const noexcept { return connections_.size(); }
    [[nodiscard]] std::size_t requests() const noexcept { return requests_; }

private:
    struct connection_state {
        std::size_t number{};
        std::string input;
        std::string endless;
        bool close{};
        bool reset{};
    };

    void accept(int descriptor);
    void read(bufferevent* handle);
    void written(bufferevent* handle);
    void close(bufferevent* handle);

    event_loop& loop_;
    request_hook on_request_;
    evconnlistener* listener_{};
    std::map<bufferevent*, connection_state> connections_;
    std::size_t accepted_connections_{};
    std::size_t requests_{};
};

} // namespace goldcrestwell::test

#endif
