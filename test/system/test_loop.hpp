#ifndef GOLDCRESTWELL_TEST_SYSTEM_TEST_LOOP_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_TEST_LOOP_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_connection.hpp"

#include <chrono>
#include <cstdint>
#include <functional>

namespace goldcrestwell::test {

/** @brief Runs the event loop of a test for a time or until a condition holds; call loads and relays run on the same
 * loop. */
class test_loop {
public:
    test_loop();

    [[nodiscard]] event_loop& loop() noexcept { return loop_; }

    void run_for(std::chrono::milliseconds duration);

    /** @brief Runs the loop until the condition holds; returns false on a timeout. */
    bool wait_until(const std::function<bool()>& condition, std::chrono::seconds timeout = std::chrono::seconds{40});

    /** @brief Sends one request over a new connection to a loopback port and returns its result. */
    [[nodiscard]] upstream_result request(std::uint16_t port, const http_client_request& request);

private:
    event_loop loop_;
};

} // namespace goldcrestwell::test

#endif
