#ifndef GOLDCRESTWELL_CORE_COMMON_MEMORY_BUDGET_HPP
#define GOLDCRESTWELL_CORE_COMMON_MEMORY_BUDGET_HPP

#include "goldcrestwell/core/common/memory_use.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace goldcrestwell {

/** @brief Size and hooks of a `memory_budget`. */
struct memory_budget_options {
    std::size_t capacity_bytes{};
    /** @brief Part of the capacity that only small uses get. */
    std::size_t small_use_bytes{};
    /** @brief Called when most of the memory that was in use has been released; may be empty. */
    std::function<void()> trim;
};

/** @brief Limit of the memory of all buffers that bytes from other processes fill. */
class memory_budget {
public:
    using size_type = std::size_t;

    /** @brief Releases memory for a use; returns false if there is nothing to release. */
    using reclaim_hook = std::function<bool(memory_use use)>;

    explicit memory_budget(memory_budget_options options);

    /** @brief Sets the hook that is called if there is too little memory; empty if none can be released. */
    void on_shortage(reclaim_hook reclaim) { reclaim_ = std::move(reclaim); }

    /** @brief Reserves memory, reclaiming some if necessary; returns false and reserves nothing if there is too little.
     */
    [[nodiscard]] bool try_reserve(size_type bytes, memory_use use);
    void release(size_type bytes) noexcept;

    [[nodiscard]] size_type capacity() const noexcept { return options_.capacity_bytes; }
    [[nodiscard]] size_type used() const noexcept { return used_; }
    /** @brief Returns the largest number of bytes that were in use at the same time. */
    [[nodiscard]] size_type peak() const noexcept { return peak_; }
    /** @brief Returns the number of reservations that were refused. */
    [[nodiscard]] std::uint64_t refusals() const noexcept { return refusals_; }

private:
    [[nodiscard]] bool fits(size_type bytes, memory_use use) const noexcept;

    memory_budget_options options_;
    reclaim_hook reclaim_;
    size_type used_{};
    size_type peak_{};
    /** @brief Largest number of bytes in use since the last trim. */
    size_type untrimmed_peak_{};
    std::uint64_t refusals_{};
    bool reclaiming_{};
};

} // namespace goldcrestwell

#endif
