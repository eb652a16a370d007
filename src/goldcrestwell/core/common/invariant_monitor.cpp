#include "goldcrestwell/core/common/invariant_monitor.hpp"

#include <numeric>

namespace goldcrestwell {

bool invariant_monitor::check(const invariant_id id, const bool holds) {
    if (holds) {
        return true;
    }
    ++violations_[static_cast<size_type>(id)];
    if (on_violation_) {
        on_violation_(id);
    }
    return false;
}

invariant_monitor::size_type invariant_monitor::violations(const invariant_id id) const noexcept {
    return violations_[static_cast<size_type>(id)];
}

invariant_monitor::size_type invariant_monitor::violations() const noexcept {
    return std::accumulate(violations_.begin(), violations_.end(), size_type{});
}

} // namespace goldcrestwell
