#ifndef GOLDCRESTWELL_CORE_CONFIG_STORE_HISTORY_HPP
#define GOLDCRESTWELL_CORE_CONFIG_STORE_HISTORY_HPP

#include "goldcrestwell/core/common/store_era.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace goldcrestwell {

/** @brief Hooks of a `store_history`; all are required. */
struct store_history_options {
    /** @brief Reports that the store returned from an older copy. */
    std::function<void(store_era previous, store_era current)> replaced;
    /** @brief Reports a response of an earlier history. */
    std::function<void(store_era era, store_era current)> stale_response;
};

/**
 * @brief History of the store that its responses belong to.
 *
 * A response that is sent before the store returns from an older copy may arrive afterwards. What it confirms is lost
 * and its offsets have been given out again, so it must have no effect.
 */
class store_history {
public:
    explicit store_history(store_history_options options);

    /**
     * @brief Handles the era that a response reports.
     * @param era Reported era, or nothing if the response has none or an unreadable one.
     * @return Era of the response, or nothing if it belongs to an earlier history.
     */
    std::optional<store_era> on_response(std::optional<store_era> era);

    /** @return True if a peer has read a later history than the store has reported to this node; once for each era. */
    [[nodiscard]] bool on_peer_era(store_era era);

    /** @return Latest era that the store has reported to this node; empty if there is none. */
    [[nodiscard]] std::optional<store_era> era() const noexcept { return era_; }
    /** @return Number of times that the store returned from an older copy. */
    [[nodiscard]] std::uint64_t replacements() const noexcept { return replacements_; }
    [[nodiscard]] std::uint64_t stale_responses() const noexcept { return stale_responses_; }
    /** @return Number of responses without a readable era from a store that has reported one before. */
    [[nodiscard]] std::uint64_t responses_without_era() const noexcept { return responses_without_era_; }

private:
    store_history_options options_;
    std::optional<store_era> era_;
    /** @brief Latest era of a peer's position. */
    store_era peer_era_;
    std::uint64_t replacements_{};
    std::uint64_t stale_responses_{};
    std::uint64_t responses_without_era_{};
};

} // namespace goldcrestwell

#endif
