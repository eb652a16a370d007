#ifndef GOLDCRESTWELL_CODEC_TABLE_LINE_HPP
#define GOLDCRESTWELL_CODEC_TABLE_LINE_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/share.hpp"
#include "goldcrestwell/core/message/row_key.hpp"
#include "goldcrestwell/core/message/row_values.hpp"
#include "goldcrestwell/core/rollout/row_state.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief One line of the operators' table. */
struct table_line {
    row_key key;
    log_offset row_version;
    row_values values;
    row_state state{row_state::pending};
    /** @brief Share of the route's traffic that is currently in force. */
    goldcrestwell::share share;
    /** @brief Name of the reason for the state; empty if there is none. */
    std::string reason;

    [[nodiscard]] friend bool operator==(const table_line&, const table_line&) = default;
};

} // namespace goldcrestwell

#endif
