#ifndef GOLDCRESTWELL_SHELL_POSITION_VIEW_HPP
#define GOLDCRESTWELL_SHELL_POSITION_VIEW_HPP

#include "goldcrestwell/core/common/store_offset.hpp"

#include <cstdint>
#include <optional>

namespace goldcrestwell {

/** @brief Position of a record for logs, status and metrics. */
struct position_view {
    std::uint64_t number{};
    /** @brief Era of a position in the store; empty for a position in the platform's log. */
    std::optional<store_era> era;

    /** @param in_store Whether the configuration comes from the store. */
    [[nodiscard]] static constexpr position_view of(const log_offset position, const bool in_store) noexcept {
        return in_store ? position_view{.number = number_of(position), .era = era_of(position)}
                        : position_view{.number = position.value(), .era = std::nullopt};
    }
};

} // namespace goldcrestwell

#endif
