#ifndef GOLDCRESTWELL_TEST_SYSTEM_CALL_LOAD_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_CALL_LOAD_HPP

#include "goldcrestwell/shell/timer.hpp"
#include "system/call_record.hpp"
#include "system/test_loop.hpp"

#include <memory>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Where and how often a load calls. */
struct call_load_options {
    /** @brief Caller listeners; each gets the same number of callers. */
    std::vector<std::uint16_t> ports;
    std::size_t callers_per_port{4};
    std::string method{"POST"};
    std::string target{"/orders"};
    std::chrono::milliseconds pause{20};
    /** @brief The system answers within the row's deadline; a longer wait shows that it did not. */
    std::chrono::milliseconds client_timeout{30'000};
};

/** @brief Callers that each make one call after the other, every call with a request id of its own. */
class call_load {
public:
    call_load(test_loop& loop, call_load_options options);
    ~call_load();

    call_load(const call_load&) = delete;
    call_load& operator=(const call_load&) = delete;

    /** @brief Lets the callers start no further call. */
    void stop() noexcept { stopping_ = true; }

    /** @return True if every call has ended. */
    [[nodiscard]] bool idle() const noexcept { return in_progress_ == 0; }

    /** @brief Stops and waits for the calls in progress. */
    bool finish();

    [[nodiscard]] std::size_t in_progress() const noexcept { return in_progress_; }
    [[nodiscard]] const std::vector<call_record>& records() const noexcept { return records_; }

    /** @return Calls that ended so, started at the given time or later. */
    [[nodiscard]] std::size_t count(call_ending ending, steady_time since = steady_time{}) const;

private:
    struct caller {
        std::uint16_t port{};
        std::unique_ptr<http_connection> connection;
        std::unique_ptr<timer> next;
        call_record current;
    };

    void start_call(caller& from);
    void on_result(caller& from, const upstream_result& result);

    test_loop& loop_;
    call_load_options options_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<call_record> records_;
    std::size_t in_progress_{};
    bool stopping_{};
};

} // namespace goldcrestwell::test

#endif
