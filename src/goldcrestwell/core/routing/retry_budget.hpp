#ifndef GOLDCRESTWELL_CORE_ROUTING_RETRY_BUDGET_HPP
#define GOLDCRESTWELL_CORE_ROUTING_RETRY_BUDGET_HPP

#include "goldcrestwell/core/common/time.hpp"

#include <optional>

namespace goldcrestwell {

/** @brief Settings of a `retry_budget`. */
struct retry_budget_options {
    /** @brief Number of retries that each call adds to the budget. */
    double retries_per_call{0.1};
    /** @brief Number of retries added per second regardless of calls, so that infrequent calls can be retried too. */
    double retries_per_second{1.0};
    /** @brief Maximum number of unused retries; bounds the burst of retries after an idle period. */
    double max_tokens{20.0};
};

/** @brief Token bucket that limits retries to a fraction of the calls of a service. */
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {}) : options_{options}, tokens_{options.max_tokens} {}

    void on_call(time_sample now);
    /** @brief Takes one retry from the budget; returns false if none is left. */
    [[nodiscard]] bool try_spend(time_sample now);

private:
    void refill(time_sample now);

    retry_budget_options options_;
    double tokens_;
    std::optional<steady_time> last_refill_;
};

} // namespace goldcrestwell

#endif
