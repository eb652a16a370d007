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

/** @brief Builds the table from the records of the log in the order of their offsets; deterministic. */
class table_reducer {
public:
    using size_type = std::size_t;

    explicit table_reducer(table_reducer_options options);

    /**
     * @brief Applies one record; a record at or below the position is ignored.
     * @return Verdict on a new edit, or an empty optional for other and for ignored records, see `last_reason()`.
     */
    std::optional<edit_verdict> apply(const sequenced_record& record);

    /** @brief Raises the position past offsets without records; a lower offset is ignored. */
    void advance_to(log_offset through);

    /**
     * @brief Replaces the whole state by a checkpoint that covers a higher offset than the position.
     * @param parts All parts of one checkpoint, in any order.
     * @return True if the state was replaced, false otherwise, see `last_reason()`.
     */
    bool restore(std::span<const checkpoint_part> parts);

    /** @return The current table; a change replaces it and never modifies it. */
    [[nodiscard]] std::shared_ptr<const table_snapshot> snapshot() const noexcept { return snapshot_; }
    /** @return Offset up to which all records are applied; never decreases. */
    [[nodiscard]] log_offset position() const noexcept { return position_; }
    /** @return Verdict on an edit, or an empty optional if it was not read or its verdict is no longer kept. */
    [[nodiscard]] std::optional<edit_verdict> verdict(const edit_id& id) const;
    /** @return Verdicts that are kept, sorted by offset. */
    [[nodiscard]] const std::deque<edit_verdict>& verdicts() const noexcept { return verdicts_.verdicts(); }
    /** @return Hash of the state and the position. */
    [[nodiscard]] std::uint64_t digest() const;
    /** @return The state as checkpoint parts for the log. */
    [[nodiscard]] std::vector<checkpoint_part> make_checkpoint() const;
    /** @return Outcome of the last input. */
    [[nodiscard]] reducer_reason last_reason() const noexcept { return last_reason_; }
    /** @return Number of checkpoints in the log whose digest differs from that of this node at the same offset. */
    [[nodiscard]] size_type divergences() const noexcept { return divergences_; }

private:
    std::optional<edit_verdict> apply_edit(const table_edit& edit, log_offset offset);
    std::optional<edit_verdict> decide_edit(const table_edit& edit, log_offset offset);
    bool commit_edit(const internal::table_draft& draft, const table_edit& edit, log_offset offset);
    void apply_rollout_record(const rollout_record& rollout, log_offset offset);
    void check_digest(const checkpoint_part& part, log_offset offset);
    void commit(const internal::table_draft& draft, log_offset offset);
    bool set_position(log_offset to);
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
