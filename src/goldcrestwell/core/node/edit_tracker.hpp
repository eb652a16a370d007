#ifndef GOLDCRESTWELL_CORE_NODE_EDIT_TRACKER_HPP
#define GOLDCRESTWELL_CORE_NODE_EDIT_TRACKER_HPP

#include "goldcrestwell/core/common/edit_id.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/edit_verdict.hpp"
#include "goldcrestwell/core/message/log_record.hpp"
#include "goldcrestwell/core/message/table_edit.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <optional>

namespace goldcrestwell {

/** @brief Timing and hooks of an `edit_tracker`. */
struct edit_tracker_options {
    /** @brief Interval at which an undecided edit is appended again; its id ensures that it is applied once. */
    std::chrono::milliseconds append_interval{2'000};
    /** @brief Time to wait for the verdict before the outcome is reported as unknown. */
    std::chrono::milliseconds verdict_timeout{10'000};
    std::function<void(const log_record& record)> append_record;
};

/** @brief Appends operators' edits to the log until their verdict is known. */
class edit_tracker {
public:
    /** @brief Called once with the verdict, or with nothing if the outcome is unknown. */
    using decision_hook = std::function<void(const std::optional<edit_verdict>& verdict)>;

    explicit edit_tracker(edit_tracker_options options);

    void submit(const table_edit& edit, decision_hook decided, steady_time now);
    void on_verdict(const edit_verdict& verdict);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

private:
    struct pending_edit {
        table_edit edit;
        decision_hook decided;
        steady_time next_append;
        steady_time expires_at;
    };

    edit_tracker_options options_;
    std::map<edit_id, pending_edit> pending_;
};

} // namespace goldcrestwell

#endif
