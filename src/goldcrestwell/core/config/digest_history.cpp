#include "goldcrestwell/core/config/digest_history.hpp"

#include "goldcrestwell/core/config/config_limits.hpp"

#include <algorithm>
#include <iterator>

namespace goldcrestwell::internal {

void digest_history::add(const log_offset offset, const std::uint64_t digest) {
    entries_.push_back({.offset = offset, .digest = digest});
    if (entries_.size() > max_digests) {
        entries_.pop_front();
    }
}

void digest_history::reset(const log_offset offset, const std::uint64_t digest) {
    entries_.clear();
    add(offset, digest);
}

std::optional<std::uint64_t> digest_history::at(const log_offset offset) const noexcept {
    const auto next = std::upper_bound(entries_.begin(), entries_.end(), offset,
                                       [](const log_offset value, const entry& item) { return value < item.offset; });
    return next != entries_.begin() ? std::optional{std::prev(next)->digest} : std::nullopt;
}

} // namespace goldcrestwell::internal
