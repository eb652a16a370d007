#ifndef GOLDCRESTWELL_CORE_CALL_ATTEMPT_ARCHIVE_HPP
#define GOLDCRESTWELL_CORE_CALL_ATTEMPT_ARCHIVE_HPP

#include "goldcrestwell/core/call/archived_attempt.hpp"
#include "goldcrestwell/core/call/attempt_hash.hpp"
#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace goldcrestwell {

/** @brief Limits of an `attempt_archive`. */
struct attempt_archive_options {
    std::chrono::seconds keep_ids{};
    std::size_t max_ids{};
    std::chrono::seconds keep_answers{};
    std::size_t max_answer_bytes{};
};

/**
 * @brief Ended attempts, bounded in memory without ever forgetting that an id is used up.
 *
 * When an id leaves the archive, the floor of its origin rises to it: an unknown id at or below the floor may have
 * been seen, so it is neither run nor called not run.
 */
class attempt_archive {
public:
    using size_type = std::size_t;

    explicit attempt_archive(attempt_archive_options options) : options_{options} {}

    void add(const attempt_id& id, archived_attempt ended, steady_time now);
    [[nodiscard]] const archived_attempt* find(const attempt_id& id) const;
    /** @return True if an unknown id may have been seen before. */
    [[nodiscard]] bool may_be_forgotten(const attempt_id& id) const;
    /** @brief Uses up an id, and all smaller unknown ones of its origin, without storing it. */
    void raise_floor(const attempt_id& id);
    [[nodiscard]] bool full() const noexcept { return ended_.size() >= options_.max_ids; }
    void expire(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;
    [[nodiscard]] size_type size() const noexcept { return ended_.size(); }
    [[nodiscard]] size_type answer_bytes() const noexcept { return answer_bytes_; }

private:
    using timed_id = std::pair<steady_time, attempt_id>;
    struct floor_state {
        incarnation start_incarnation;
        std::uint64_t sequence{};
    };

    void forget_answer();

    std::unordered_map<attempt_id, archived_attempt, attempt_hash> ended_;
    std::deque<timed_id> ids_;
    std::deque<timed_id> answers_;
    std::unordered_map<std::uint64_t, floor_state> floors_;
    size_type answer_bytes_{};
    attempt_archive_options options_;
};

} // namespace goldcrestwell

#endif
