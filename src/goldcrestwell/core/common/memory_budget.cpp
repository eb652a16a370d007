#include "goldcrestwell/core/common/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

// Trimming costs processor time, so it follows only uses of a considerable part of the capacity.
constexpr std::size_t min_trim_divisor = 8;
constexpr std::size_t trim_decline_divisor = 4;

} // namespace

memory_budget::memory_budget(memory_budget_options options) : options_{std::move(options)} {}

bool memory_budget::fits(const size_type bytes, const memory_use use) const noexcept {
    const auto limit = use == memory_use::small
                           ? options_.capacity_bytes
                           : options_.capacity_bytes - std::min(options_.small_use_bytes, options_.capacity_bytes);
    return used_ <= limit && bytes <= limit - used_;
}

bool memory_budget::try_reserve(const size_type bytes, const memory_use use) {
    // A reservation made while memory is being reclaimed must not reclaim memory itself.
    while (!fits(bytes, use)) {
        if (!reclaim_ || std::exchange(reclaiming_, true)) {
            ++refusals_;
            return false;
        }
        const auto reclaimed = reclaim_(use);
        reclaiming_ = false;
        if (!reclaimed) {
            ++refusals_;
            return false;
        }
    }
    used_ += bytes;
    peak_ = std::max(peak_, used_);
    untrimmed_peak_ = std::max(untrimmed_peak_, used_);
    return true;
}

void memory_budget::release(const size_type bytes) noexcept {
    used_ -= std::min(bytes, used_);
    if (options_.trim && untrimmed_peak_ > options_.capacity_bytes / min_trim_divisor &&
        used_ < untrimmed_peak_ / trim_decline_divisor) {
        untrimmed_peak_ = used_;
        options_.trim();
    }
}

} // namespace goldcrestwell
