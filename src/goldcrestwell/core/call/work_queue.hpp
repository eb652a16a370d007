#ifndef GOLDCRESTWELL_CORE_CALL_WORK_QUEUE_HPP
#define GOLDCRESTWELL_CORE_CALL_WORK_QUEUE_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/message/row_key.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace goldcrestwell {

/** @brief Attempts waiting for a slot in order of arrival, and the calls running, by row. */
class work_queue {
public:
    using size_type = std::size_t;

    void push(const row_key& row, const attempt_id& id);
    void erase(const row_key& row, const attempt_id& id);
    /** @param row_limit Calls of a row that may run now. */
    [[nodiscard]] std::optional<attempt_id> pop(const std::function<std::uint32_t(const attempt_id&)>& row_limit);

    void on_started(const row_key& row) { ++rows_[row].running; }
    void on_finished(const row_key& row);

    [[nodiscard]] size_type queued(const row_key& row) const;
    [[nodiscard]] std::uint32_t running(const row_key& row) const;
    [[nodiscard]] size_type size() const noexcept { return size_; }

private:
    struct row_state {
        std::map<std::uint64_t, attempt_id> waiting;
        std::map<attempt_id, std::uint64_t> positions;
        std::uint32_t running{};
    };

    std::map<row_key, row_state> rows_;
    size_type size_{};
    std::uint64_t last_position_{};
};

} // namespace goldcrestwell

#endif
