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
    std::chrono::seconds id_retention{};
    std::size_t max_ids{};
    std::chrono::seconds response_retention{};
    std::size_t max_response_bytes{};
};

/**
 * @brief Outcomes of ended attempts, in bounded memory; an id that was seen once is never taken for a new one.
 *
 * Removing an id raises the floor of its origin to that id. An unknown id at or below the floor may have been seen, so
 * it must not run, and no refusal may state that it did not run.
 */
class attempt_archive {
public:
    using size_type = std::size_t;

    explicit attempt_archive(attempt_archive_options options) : options_{options} {}

    void add(const attempt_id& id, archived_attempt ended, steady_time now);
    [[nodiscard]] const archived_attempt* find(const attempt_id& id) const;
    /** @brief Checks whether an id that is not in the archive may have been seen before. */
    [[nodiscard]] bool may_have_been_seen(const attempt_id& id) const;
    /** @brief Marks an id and all smaller ids of its origin as possibly seen, without storing them. */
    void raise_floor(const attempt_id& id);
    [[nodiscard]] bool full() const noexcept { return ended_.size() >= options_.max_ids; }
    void expire(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;
    [[nodiscard]] size_type size() const noexcept { return ended_.size(); }
    [[nodiscard]] size_type response_bytes() const noexcept { return response_bytes_; }

private:
    using timed_id = std::pair<steady_time, attempt_id>;
    struct floor_state {
        incarnation start_incarnation;
        std::uint64_t sequence{};
    };

    void evict_response();

    std::unordered_map<attempt_id, archived_attempt, attempt_hash> ended_;
    std::deque<timed_id> ids_;
    std::deque<timed_id> responses_;
    std::unordered_map<std::uint64_t, floor_state> floors_;
    size_type response_bytes_{};
    attempt_archive_options options_;
};

} // namespace goldcrestwell

#endif
