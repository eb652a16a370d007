#ifndef GOLDCRESTWELL_CORE_ROUTING_ROW_TERMS_HPP
#define GOLDCRESTWELL_CORE_ROUTING_ROW_TERMS_HPP

#include "goldcrestwell/core/message/row_limits.hpp"

namespace goldcrestwell {

/** @brief What a row of the table says about calls to its version. */
struct row_terms {
    row_limits limits;
    /** @brief Calls of any method may be run more than once. */
    bool idempotent{};

    [[nodiscard]] friend bool operator==(const row_terms&, const row_terms&) = default;
};

} // namespace goldcrestwell

#endif
