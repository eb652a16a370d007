#ifndef GOLDCRESTWELL_TEST_CROWD_RAW_CLIENT_HPP
#define GOLDCRESTWELL_TEST_CROWD_RAW_CLIENT_HPP

#include "goldcrestwell/shell/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace goldcrestwell::test {

/** @brief Connection to a loopback port that sends arbitrary bytes. */
class raw_client {
public:
    raw_client(event_loop& loop, std::uint16_t port);

    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    /** @brief Queues bytes; ignored after the connection has closed. */
    void write(std::string_view bytes);
    /** @brief Queues bytes without copying them; they must outlive the connection. */
    void write_reference(std::string_view bytes);
    void stop_reading();
    void close() { handle_.reset(); }

    [[nodiscard]] std::size_t unwritten_bytes() const;
    /** @brief Returns the first bytes that were received, at most 4 KiB. */
    [[nodiscard]] const std::string& received() const noexcept { return received_; }
    /** @brief Returns the status of the first response, or 0 before its status line has arrived. */
    [[nodiscard]] unsigned status() const;
    [[nodiscard]] bool closed() const noexcept { return handle_ == nullptr; }

private:
    struct handle_deleter {
        void operator()(bufferevent* handle) const noexcept;
    };

    void read();

    std::string received_;
    std::unique_ptr<bufferevent, handle_deleter> handle_;
};

} // namespace goldcrestwell::test

#endif
