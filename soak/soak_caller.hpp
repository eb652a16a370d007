#ifndef GOLDCRESTWELL_SOAK_SOAK_CALLER_HPP
#define GOLDCRESTWELL_SOAK_SOAK_CALLER_HPP

#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "soak/run_record.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace goldcrestwell::soak {

/** @brief Options of a `soak_caller`. */
struct soak_caller_options {
    std::uint16_t port{};
    /** @brief Prefix of the request ids. */
    std::string name;
    std::uint64_t seed{};
    std::chrono::milliseconds deadline{1'500};
    std::chrono::milliseconds pause{25};
    run_record* record{};
    /** @brief Checks whether no fault has had effects since the given time, so that no request may be cut off. */
    std::function<bool(steady_time since)> is_undisturbed_since;
};

/** @brief Caller that reuses its connection while it is open and checks each response. */
class soak_caller {
public:
    soak_caller(event_loop& loop, soak_caller_options options);

    /** @brief Starts no further calls. */
    void stop() noexcept { stopped_ = true; }
    [[nodiscard]] bool idle() const noexcept { return !call_in_progress_; }

private:
    void start_call();
    void on_result(const std::string& id, const upstream_result& result, steady_time started);
    void check_response(const std::string& id, const http_response& response);

    event_loop& loop_;
    soak_caller_options options_;
    std::mt19937_64 random_;
    std::unique_ptr<http_connection> connection_;
    std::uint64_t last_request_number_{};
    bool call_in_progress_{};
    bool stopped_{};
    timer next_call_timer_;
};

} // namespace goldcrestwell::soak

#endif
