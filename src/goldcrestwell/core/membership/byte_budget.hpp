#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_BYTE_BUDGET_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_BYTE_BUDGET_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/membership/membership_counters.hpp"

#include <cstddef>

namespace goldcrestwell {

/**
 * @brief Token bucket for control bytes that holds two seconds of its rate.
 *
 * Each priority may empty the bucket down to a floor of its own, so that lower priorities leave room for higher ones.
 */
class byte_budget {
public:
    using size_type = std::size_t;

    /** @param counts Gets the bytes spent and the messages withheld; must outlive the budget. */
    byte_budget(size_type bytes_per_second, membership_counters& counts) noexcept;

    /** @return False, and nothing is taken, if the bytes must not be sent now. */
    [[nodiscard]] bool spend(size_type bytes, control_priority priority, steady_time now);

    /** @return Bytes that may be spent now. */
    [[nodiscard]] size_type available(control_priority priority, steady_time now);

    /** @return Earliest time at which the bytes may be available if nothing else is spent. */
    [[nodiscard]] steady_time ready_at(size_type bytes, control_priority priority, steady_time now);

private:
    void refill(steady_time now) noexcept;
    [[nodiscard]] double floor_of(control_priority priority) const noexcept;

    double rate_;
    double level_;
    steady_time refilled_{};
    bool started_{};
    membership_counters* counts_;
};

} // namespace goldcrestwell

#endif
