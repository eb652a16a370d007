#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROW_KEY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROW_KEY_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <compare>

namespace goldcrestwell {

/** @brief Identity of a row of the table. */
struct row_key {
    route_name route;
    upstream_version version;

    [[nodiscard]] friend auto operator<=>(const row_key&, const row_key&) = default;
};

} // namespace goldcrestwell

#endif
