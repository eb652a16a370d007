#ifndef GOLDCRESTWELL_CORE_COMMON_ENUM_COUNTERS_HPP
#define GOLDCRESTWELL_CORE_COMMON_ENUM_COUNTERS_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace goldcrestwell {

/**
 * @brief One counter for each enumerator.
 * @tparam Enum Enumeration whose values run from zero without gaps.
 * @tparam Count Number of enumerators.
 */
template <typename Enum, std::size_t Count>
class enum_counters {
public:
    using value_type = std::uint64_t;

    void add(const Enum value, const value_type amount = 1) noexcept { values_[index(value)] += amount; }

    [[nodiscard]] value_type operator[](const Enum value) const noexcept { return values_[index(value)]; }

private:
    [[nodiscard]] static constexpr std::size_t index(const Enum value) noexcept {
        return static_cast<std::size_t>(value);
    }

    std::array<value_type, Count> values_{};
};

} // namespace goldcrestwell

#endif
