#ifndef GOLDCRESTWELL_CORE_CONFIG_TABLE_REDUCER_HPP
#define GOLDCRESTWELL_CORE_CONFIG_TABLE_REDUCER_HPP

#include "goldcrestwell/core/common/edit_id.hpp"
#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/config/digest_history.hpp"
#include "goldcrestwell/core/config/reducer_reason.hpp"
#include "goldcrestwell/core/config/table_draft.hpp"
#include "goldcrestwell/core/config/table_reducer_options.hpp"
#include "goldcrestwell/core/config/table_snapshot.hpp"
#include "goldcrestwell/core/config/verdict_store.hpp"
#include "goldcrestwell/core/message/checkpoint_part.hpp"
#include "goldcrestwell/core/message/edit_verdict.hpp"
#include "goldcrestwell/core/message/sequenced_record.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace goldcrestwell {

/** @brief Turns the records of the log, in the order of their offsets, into the table; deterministic. */
class table_reducer {
public:
    using size_type = std::size_t;

    explicit table_reducer(table_reducer_options options);

    /**
     * @brief Applies one record; a record at or below the position is ignored.
     * @return Verdict of a new edit; nothing for other records and ignored ones, see `last_reason()`.
     */
    std::optional<edit_verdict> apply(const sequenced_record& record);

    /** @brief Moves the position over offsets without records; a lower offset is ignored. */
    void advance_to(log_offset through);

    /**
     * @brief Replaces the whole state by a checkpoint that covers more than the position.
     * @param parts All parts of one checkpoint, in any order.
     * @return False if nothing was changed, see `last_reason()`.
     */
    bool restore(std::span<const checkpoint_part> parts);

    /** @return The table in force; replaced by a change, never modified. */
    [[nodiscard]] std::shared_ptr<const table_snapshot> snapshot() const noexcept { return snapshot_; }
    /** @return Offset up to which all records are part of the state; never decreases. */
    [[nodiscard]] log_offset position() const noexcept { return position_; }
    /** @return Decision on an edit, or nothing if it was not read or is older than the verdicts kept. */
    [[nodiscard]] std::optional<edit_verdict> verdict(const edit_id& id) const;
    /** @return Decisions kept, in order of their offsets. */
    [[nodiscard]] const std::deque<edit_verdict>& verdicts() const noexcept { return verdicts_.verdicts(); }
    /** @return Hash of the state and the position. */
    [[nodiscard]] std::uint64_t digest() const;
    /** @return The state as records for the log. */
    [[nodiscard]] std::vector<checkpoint_part> make_checkpoint() const;
    /** @return What was done with the last input. */
    [[nodiscard]] reducer_reason last_reason() const noexcept { return last_reason_; }
    /** @return Checkpoints seen whose digest differs from this node's own state at that offset. */
    [[nodiscard]] size_type divergences() const noexcept { return divergences_; }

private:
    std::optional<edit_verdict> apply_edit(const table_edit& edit, log_offset at);
    std::optional<edit_verdict> decide(const table_edit& edit, log_offset at);
    bool commit_edit(const internal::table_draft& draft, const table_edit& edit, log_offset at);
    void apply_fact(const rollout_record& fact, log_offset at);
    void compare_digest(const checkpoint_part& part, log_offset at);
    void commit(const internal::table_draft& draft, log_offset at);
    bool move_position(log_offset to);
    [[nodiscard]] bool check(invariant_id id, bool holds) const;
    [[nodiscard]] std::uint64_t state_sum() const noexcept { return table_digest_ + verdicts_.digest(); }

    table_reducer_options options_;
    std::shared_ptr<const table_snapshot> snapshot_;
    internal::verdict_store verdicts_;
    internal::digest_history history_;
    log_offset position_;
    std::uint64_t table_digest_{};
    reducer_reason last_reason_{reducer_reason::none};
    size_type divergences_{};
};

} // namespace goldcrestwell

#endif
