#ifndef GOLDCRESTWELL_CORE_NODE_UPSTREAM_REGISTRY_HPP
#define GOLDCRESTWELL_CORE_NODE_UPSTREAM_REGISTRY_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/upstream_announcement.hpp"
#include "goldcrestwell/core/message/upstream_departure.hpp"
#include "goldcrestwell/core/message/upstream_info.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Service and address of the local upstream. */
struct upstream_registry_options {
    service_name service;
    node_id address;
};

/** @brief Change caused by an announcement. */
enum class upstream_change : std::uint8_t {
    none,    /**< No change: stale, out of order, not confirmed yet, or from another service or address. */
    renewed, /**< The known upstream repeated its announcement. */
    started, /**< Another upstream, or another start of the same upstream, replaces the known one. */
    leaving  /**< The upstream accepts no new work. */
};

/**
 * @brief Tracks the current start of the local upstream from announcements that may be late or out of order.
 *
 * A process that has just started does not know whether the upstream has left before, so its first announcement may be
 * late. It takes effect after the recorded departure was restored, or after a later announcement of the same start.
 */
class upstream_registry {
public:
    explicit upstream_registry(upstream_registry_options options) : options_{std::move(options)} {}

    [[nodiscard]] upstream_change on_announcement(const upstream_announcement& announcement);
    /**
     * @brief Handles the withdrawal of an announcement by its upstream.
     * @param id Id of the upstream.
     * @param now Latest possible start of the upstream if no announcement of it was received.
     */
    [[nodiscard]] upstream_change on_withdrawal(std::string_view id, wall_time now);
    /**
     * @brief Restores the departure that an earlier process on this host recorded.
     * @param departure Recorded departure, or nothing if there is none.
     */
    [[nodiscard]] upstream_change restore(const std::optional<upstream_departure>& departure);

    /** @return Id of the upstream; empty before the first announcement. */
    [[nodiscard]] std::string_view id() const noexcept { return latest_ ? std::string_view{latest_->id} : ""; }
    /** @return Properties of the upstream that are gossiped to other nodes. */
    [[nodiscard]] upstream_info info() const;
    /** @return Last upstream that announced to this process that it leaves, or was found to have left. */
    [[nodiscard]] const std::optional<upstream_departure>& departure() const noexcept { return departure_; }

private:
    [[nodiscard]] bool has_left(const upstream_announcement& announcement) const;
    [[nodiscard]] upstream_change accept(const upstream_announcement& announcement);

    upstream_registry_options options_;
    std::optional<upstream_announcement> latest_;
    std::optional<upstream_departure> departure_;
    /** @brief Departure that an earlier process on this host recorded. */
    std::optional<upstream_departure> recorded_departure_;
    /** @brief Announcement that waits until it is known whether its upstream has left. */
    std::optional<upstream_announcement> unconfirmed_;
    bool departure_known_{};
};

} // namespace goldcrestwell

#endif
