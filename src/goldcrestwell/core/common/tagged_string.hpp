#ifndef GOLDCRESTWELL_CORE_COMMON_TAGGED_STRING_HPP
#define GOLDCRESTWELL_CORE_COMMON_TAGGED_STRING_HPP

#include <compare>
#include <string>

namespace goldcrestwell {

/**
 * @brief Strongly typed string.
 * @tparam Tag Tag that distinguishes the types.
 */
template <typename Tag>
struct tagged_string {
    std::string value;

    [[nodiscard]] bool empty() const noexcept { return value.empty(); }
    [[nodiscard]] friend auto operator<=>(const tagged_string&, const tagged_string&) = default;
};

} // namespace goldcrestwell

#endif
