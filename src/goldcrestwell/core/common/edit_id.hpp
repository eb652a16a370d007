#ifndef GOLDCRESTWELL_CORE_COMMON_EDIT_ID_HPP
#define GOLDCRESTWELL_CORE_COMMON_EDIT_ID_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Random identity of a table edit; an edit that is appended twice is applied once. */
struct edit_id {
    std::uint64_t high{};
    std::uint64_t low{};

    [[nodiscard]] friend constexpr auto operator<=>(const edit_id&, const edit_id&) noexcept = default;
};

/** @return Id as 32 hexadecimal digits. */
[[nodiscard]] std::string to_string(const edit_id& id);

/** @return Id parsed from 32 hexadecimal digits, or an empty optional if the text is malformed. */
[[nodiscard]] std::optional<edit_id> parse_edit_id(std::string_view text);

} // namespace goldcrestwell

#endif
