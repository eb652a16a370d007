#ifndef GOLDCRESTWELL_TEST_SYSTEM_TEST_LOOP_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_TEST_LOOP_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_connection.hpp"

#include <chrono>
#include <cstdint>
#include <functional>

namespace goldcrestwell::test {

/** @brief Runs the loop of a test until something has happened; load and relays go on meanwhile. */
class test_loop {
public:
    test_loop();

    [[nodiscard]] event_loop& loop() noexcept { return loop_; }

    void run_for(std::chrono::milliseconds time);

    /** @return False if the condition did not become true within the limit. */
    bool wait_until(const std::function<bool()>& condition, std::chrono::seconds limit = std::chrono::seconds{40});

    /** @return The result of one request over a connection of its own to a port on loopback. */
    [[nodiscard]] upstream_result request(std::uint16_t port, const http_client_request& request);

private:
    event_loop loop_;
};

} // namespace goldcrestwell::test

#endif
