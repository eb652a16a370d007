#ifndef GOLDCRESTWELL_CORE_MESSAGE_CHECKPOINT_PART_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_CHECKPOINT_PART_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/edit_verdict.hpp"
#include "goldcrestwell/core/message/rollout_record.hpp"
#include "goldcrestwell/core/message/route_base.hpp"
#include "goldcrestwell/core/message/table_row.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief One part of a checkpoint of the table; all its parts have the same `covered_offset` and `digest`. */
struct checkpoint_part {
    /** @brief Offset of the last record that is included in the state. */
    log_offset covered_offset;
    /** @brief Hash of the complete state. */
    std::uint64_t digest{};
    std::uint32_t index{};
    std::uint32_t count{};
    std::vector<table_row> rows;
    std::vector<route_base> bases;
    std::vector<rollout_record> rollout_records;
    std::vector<edit_verdict> verdicts;

    [[nodiscard]] friend bool operator==(const checkpoint_part&, const checkpoint_part&) = default;
};

} // namespace goldcrestwell

#endif
