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

/** @brief Settings of a `soak_caller`. */
struct soak_caller_options {
    std::uint16_t port{};
    /** @brief Begins the id of each of its requests. */
    std::string name;
    std::uint64_t seed{};
    std::chrono::milliseconds deadline{1'500};
    std::chrono::milliseconds pause{25};
    run_record* record{};
    /** @brief True if all that has happened lately was planned, so that no request may be cut. */
    std::function<bool(steady_time since)> calm;
};

/** @brief A caller that uses its connection as long as it lasts and checks each answer. */
class soak_caller {
public:
    soak_caller(event_loop& loop, soak_caller_options options);

    /** @brief Makes no further call. */
    void stop() noexcept { stopped_ = true; }
    [[nodiscard]] bool idle() const noexcept { return !busy_; }

private:
    void call();
    void on_result(const std::string& id, const upstream_result& result, steady_time started);
    void check_answer(const std::string& id, const http_response& answer);

    event_loop& loop_;
    soak_caller_options options_;
    std::mt19937_64 random_;
    std::unique_ptr<http_connection> connection_;
    std::uint64_t last_{};
    bool busy_{};
    bool stopped_{};
    timer next_;
};

} // namespace goldcrestwell::soak

#endif
