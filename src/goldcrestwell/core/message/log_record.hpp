#ifndef GOLDCRESTWELL_CORE_MESSAGE_LOG_RECORD_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_LOG_RECORD_HPP

#include "goldcrestwell/core/message/checkpoint_part.hpp"
#include "goldcrestwell/core/message/rollout_record.hpp"
#include "goldcrestwell/core/message/table_edit.hpp"

#include <variant>

namespace goldcrestwell {

/** @brief Placeholder for a record that could not be decoded; every node skips it. */
struct unreadable_record {
    [[nodiscard]] friend bool operator==(const unreadable_record&, const unreadable_record&) = default;
};

/** @brief Record of the `config` stream. */
using log_record = std::variant<unreadable_record, table_edit, checkpoint_part, rollout_record>;

} // namespace goldcrestwell

#endif
