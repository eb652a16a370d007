#ifndef GOLDCRESTWELL_CORE_MESSAGE_EDIT_REASON_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_EDIT_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Why an edit was accepted or rejected. */
enum class edit_reason : std::uint8_t {
    accepted,
    stale_row,
    empty_edit,
    row_named_twice,
    invalid_route,
    invalid_service,
    invalid_version,
    weight_out_of_range,
    limit_out_of_range,
    deadline_passed,
    deadline_too_far,
    mixed_services,
    no_weight_left,
    unknown_row,
    table_full,
};

/** @brief Number of enumerators of `edit_reason`. */
inline constexpr std::size_t edit_reason_count = 15;

/** @return Name used in logs, metrics and headers. */
[[nodiscard]] std::string_view to_string(edit_reason value) noexcept;

} // namespace goldcrestwell

#endif
