#ifndef GOLDCRESTWELL_CORE_CONFIG_REDUCER_REASON_HPP
#define GOLDCRESTWELL_CORE_CONFIG_REDUCER_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief What the reducer did with its last input. */
enum class reducer_reason : std::uint8_t {
    none,
    applied,
    record_old,
    record_unreadable,
    duplicate_edit,
    edit_rejected,
    stale_fact,
    fact_known,
    checkpoint_seen,
    /** @brief A checkpoint of a state that this node holds too has another digest. */
    digest_diverged,
    checkpoint_old,
    checkpoint_incomplete,
    checkpoint_corrupt,
    /** @brief An invariant would not hold after the step. */
    step_refused,
};

/** @brief Number of enumerators of `reducer_reason`. */
inline constexpr std::size_t reducer_reason_count = 14;

/** @return The name used in logs and metrics. */
[[nodiscard]] std::string_view to_string(reducer_reason value) noexcept;

} // namespace goldcrestwell

#endif
