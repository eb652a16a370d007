#ifndef GOLDCRESTWELL_CORE_COMMON_TAGGED_VALUE_HPP
#define GOLDCRESTWELL_CORE_COMMON_TAGGED_VALUE_HPP

#include <compare>

namespace goldcrestwell {

/**
 * @brief Strongly typed integer.
 * @tparam Tag Tag that distinguishes the types.
 * @tparam Value Underlying integer.
 */
template <typename Tag, typename Value>
class tagged_value {
public:
    using value_type = Value;

    constexpr tagged_value() noexcept = default;
    constexpr explicit tagged_value(const value_type value) noexcept : value_{value} {}

    /** @return The underlying integer. */
    [[nodiscard]] constexpr value_type value() const noexcept { return value_; }

    /** @return True if the value is not zero; zero means none. */
    [[nodiscard]] constexpr explicit operator bool() const noexcept { return value_ != 0; }

    [[nodiscard]] friend constexpr auto operator<=>(tagged_value, tagged_value) noexcept = default;

private:
    value_type value_{};
};

} // namespace goldcrestwell

#endif
