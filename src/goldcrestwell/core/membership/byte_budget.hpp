#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_BYTE_BUDGET_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_BYTE_BUDGET_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/membership/membership_counters.hpp"

#include <cstddef>

namespace goldcrestwell {

/**
 * @brief Token bucket that limits control traffic; its capacity is the rate times two seconds.
 *
 * Each priority may drain the bucket only to its own floor, so that bytes remain for higher priorities.
 */
class byte_budget {
public:
    using size_type = std::size_t;

    /** @param counts Counts the bytes spent and the messages withheld; must outlive the budget. */
    byte_budget(size_type bytes_per_second, membership_counters& counts) noexcept;

    /** @return False, without a change of the level, if the bytes must not be sent now. */
    [[nodiscard]] bool spend(size_type bytes, control_priority priority, steady_time now);

    /** @brief Returns the number of bytes that a priority may spend now. */
    [[nodiscard]] size_type available(control_priority priority, steady_time now);

    /** @brief Returns the earliest time at which the bytes can be spent if nothing else is spent until then. */
    [[nodiscard]] steady_time ready_at(size_type bytes, control_priority priority, steady_time now);

private:
    void refill(steady_time now) noexcept;
    [[nodiscard]] double floor_bytes(control_priority priority) const noexcept;

    double bytes_per_second_;
    double available_bytes_;
    steady_time last_refill_{};
    bool has_refilled_{};
    membership_counters* counts_;
};

} // namespace goldcrestwell

#endif
