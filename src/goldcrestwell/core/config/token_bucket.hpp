#ifndef GOLDCRESTWELL_CORE_CONFIG_TOKEN_BUCKET_HPP
#define GOLDCRESTWELL_CORE_CONFIG_TOKEN_BUCKET_HPP

#include "goldcrestwell/core/common/time.hpp"

#include <algorithm>
#include <chrono>

namespace goldcrestwell::internal {

/** @brief Token bucket: allows one event per interval on average and a limited burst after idle time. */
class token_bucket {
public:
    token_bucket(const std::chrono::milliseconds interval, const int burst)
        : interval_{interval}, burst_allowance_{interval * (burst - 1)} {}

    /**
     * @brief Takes a token if one is available.
     * @return True if the event is allowed now, false otherwise.
     */
    [[nodiscard]] bool take(const steady_time now) noexcept {
        if (now < available_at()) {
            return false;
        }
        full_at_ = std::max(full_at_, now) + interval_;
        return true;
    }

    /** @return Time from which the next event is allowed. */
    [[nodiscard]] steady_time available_at() const noexcept { return full_at_ - burst_allowance_; }

private:
    std::chrono::milliseconds interval_;
    std::chrono::milliseconds burst_allowance_;
    steady_time full_at_{};
};

} // namespace goldcrestwell::internal

#endif
