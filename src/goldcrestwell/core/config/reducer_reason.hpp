#ifndef GOLDCRESTWELL_CORE_CONFIG_REDUCER_REASON_HPP
#define GOLDCRESTWELL_CORE_CONFIG_REDUCER_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Outcome of the last input of a `table_reducer`. */
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
    /** @brief A checkpoint in the log has another digest than the state of this node at the same offset. */
    digest_diverged,
    checkpoint_old,
    checkpoint_incomplete,
    checkpoint_corrupt,
    /** @brief The input was not applied, because it would violate an invariant. */
    step_refused,
};

/** @brief Number of enumerators of `reducer_reason`. */
inline constexpr std::size_t reducer_reason_count = 14;

/** @return The name used in logs and metrics. */
[[nodiscard]] std::string_view to_string(reducer_reason value) noexcept;

} // namespace goldcrestwell

#endif
