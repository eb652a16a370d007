#ifndef GOLDCRESTWELL_TEST_STAND_IN_UPSTREAM_FAULTS_HPP
#define GOLDCRESTWELL_TEST_STAND_IN_UPSTREAM_FAULTS_HPP

#include "stand_in/http_service.hpp"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace goldcrestwell::test {

/** @brief How the upstream ends one call. */
enum class call_ending : std::uint8_t { answer, fail, hang, truncate };

/** @brief Effect of the injected faults on one call. */
struct call_plan {
    call_ending ending{call_ending::answer};
    std::chrono::milliseconds extra{};
};

/** @brief Faults injected into an upstream's calls. */
class upstream_faults {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit upstream_faults(const std::uint64_t seed) : engine_{seed} {}

    /** @brief Sets the faults given in the query; other faults keep their values. */
    void set(const parameters& query, time_point now);
    /** @brief Returns the plan for a call that starts while `load` calls are running or queued. */
    [[nodiscard]] call_plan plan(std::string_view path, std::uint64_t load, time_point now);
    /** @brief Returns the faults as JSON. */
    [[nodiscard]] std::string to_json() const;

private:
    std::mt19937_64 engine_;
    std::uint64_t fail_percent_{};
    std::uint64_t hang_percent_{};
    std::uint64_t truncate_percent_{};
    std::uint64_t load_threshold_{};
    std::chrono::milliseconds extra_work_{};
    std::chrono::seconds activation_delay_{};
    time_point set_at_;
    std::string only_route_;
};

} // namespace goldcrestwell::test

#endif
