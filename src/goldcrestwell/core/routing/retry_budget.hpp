#ifndef GOLDCRESTWELL_CORE_ROUTING_RETRY_BUDGET_HPP
#define GOLDCRESTWELL_CORE_ROUTING_RETRY_BUDGET_HPP

#include "goldcrestwell/core/common/time.hpp"

#include <optional>

namespace goldcrestwell {

/** @brief Limits of retries for one service. */
struct retry_budget_options {
    /** @brief Retries earned by each call. */
    double per_call{0.1};
    /** @brief Retries earned each second without any call, so that rare calls can be retried too. */
    double per_second{1.0};
    /** @brief Most retries that can be saved; bounds the burst after a quiet time. */
    double saved{20.0};
};

/** @brief Token bucket that keeps retries to a fraction of the calls of a service. */
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {}) : options_{options}, tokens_{options.saved} {}

    void on_call(time_sample now);
    /** @return True if a retry may be made; it is then paid for. */
    [[nodiscard]] bool spend(time_sample now);

private:
    void refill(time_sample now);

    retry_budget_options options_;
    double tokens_;
    std::optional<steady_time> refilled_;
};

} // namespace goldcrestwell

#endif
