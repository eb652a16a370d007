#ifndef GOLDCRESTWELL_CORE_COMMON_INVARIANT_MONITOR_HPP
#define GOLDCRESTWELL_CORE_COMMON_INVARIANT_MONITOR_HPP

#include "goldcrestwell/core/common/invariant_id.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <utility>

namespace goldcrestwell {

/** @brief Checks invariants at run time, counts violations and reports each through a hook. */
class invariant_monitor {
public:
    using size_type = std::size_t;
    using violation_hook = std::function<void(invariant_id)>;

    invariant_monitor() = default;
    explicit invariant_monitor(violation_hook on_violation) : on_violation_{std::move(on_violation)} {}

    /**
     * @brief Reports a violation if the condition is false.
     * @return The condition, so that the caller can skip the invalid step.
     */
    bool check(invariant_id id, bool holds);

    /** @return Number of violations of one invariant. */
    [[nodiscard]] size_type violations(invariant_id id) const noexcept;

    /** @return Number of violations of all invariants. */
    [[nodiscard]] size_type violations() const noexcept;

private:
    violation_hook on_violation_;
    std::array<size_type, invariant_id_count> violations_{};
};

} // namespace goldcrestwell

#endif
