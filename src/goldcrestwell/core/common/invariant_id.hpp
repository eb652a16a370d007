#ifndef GOLDCRESTWELL_CORE_COMMON_INVARIANT_ID_HPP
#define GOLDCRESTWELL_CORE_COMMON_INVARIANT_ID_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Property that must always hold; `docs/proofs.md` has a row for each. */
enum class invariant_id : std::uint8_t {
    version_monotonic,
    references_closed,
    apply_atomic,
    candidate_share_bounded,
    answer_matches_call,
    refusal_truthful,
    at_most_once,
    leaving_gets_no_work,
    drain_cuts_nothing,
    accepted_in_force,
};

/** @brief Number of enumerators of `invariant_id`. */
inline constexpr std::size_t invariant_id_count = 10;

/** @return Name used in logs, metrics and headers. */
[[nodiscard]] std::string_view to_string(invariant_id value) noexcept;

} // namespace goldcrestwell

#endif
