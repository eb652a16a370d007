#ifndef GOLDCRESTWELL_CORE_NODE_UPSTREAM_REGISTRY_HPP
#define GOLDCRESTWELL_CORE_NODE_UPSTREAM_REGISTRY_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/upstream_announcement.hpp"
#include "goldcrestwell/core/message/upstream_info.hpp"
#include "goldcrestwell/core/node/departure_history.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Local upstream and time limits of an `upstream_registry`. */
struct upstream_registry_options {
    service_name service;
    node_id address;
    goldcrestwell::data_centre data_centre;
    /** @brief Start of this process. */
    steady_time created{};
    /** @brief Time without announcements after which an upstream no longer holds its place against a later start. */
    std::chrono::milliseconds takeover_silence{2'250};
    /** @brief Time without announcements after which an upstream gives way to an earlier start. */
    std::chrono::milliseconds expiry{6'000};
};

/** @brief Change caused by an announcement or a withdrawal. */
enum class upstream_change : std::uint8_t {
    none,    /**< No change: stale, out of order, not confirmed yet, or of another host. */
    renewed, /**< The known upstream repeated its announcement. */
    started, /**< Another upstream, or another start of the same upstream, replaces the known one. */
    leaving, /**< The upstream accepts no new work. */
    departed /**< A start that is not in use leaves; the upstream in use is not affected. */
};

/**
 * @brief Tracks the current start of the local upstream from announcements that may be late, out of order or false.
 *
 * A process that has just started does not know which upstreams have left before, so an announcement may be late. It
 * takes effect once the recorded departures were restored, or once an announcement that arrives can no longer have been
 * sent before this process started.
 *
 * A single announcement does not displace an upstream in use, because other writers announce as well. Another start
 * replaces it after a second announcement, unless the upstream in use announced itself in between, or at once if the
 * upstream in use has left, is silent, or is found not to be at its address.
 */
class upstream_registry {
public:
    explicit upstream_registry(upstream_registry_options options) : options_{std::move(options)} {}

    [[nodiscard]] upstream_change on_announcement(const upstream_announcement& announcement, steady_time now);
    /**
     * @brief Handles the withdrawal of an announcement by its upstream.
     * @param id Id of the upstream.
     * @param now Latest possible start of the upstream if no announcement of it was received.
     */
    [[nodiscard]] upstream_change on_withdrawal(std::string_view id, wall_time now);
    /** @brief Handles the answer of an upstream that it is not the one in use. */
    [[nodiscard]] upstream_change on_misdirected(steady_time now);
    /** @brief Restores the departures that earlier processes on this host recorded. */
    [[nodiscard]] upstream_change restore(const std::vector<upstream_departure>& departures, steady_time now);

    /** @return Id of the upstream; empty before the first announcement. */
    [[nodiscard]] std::string_view id() const noexcept { return latest_ ? std::string_view{latest_->id} : ""; }
    /** @return Properties of the upstream that are gossiped to other nodes. */
    [[nodiscard]] upstream_info info() const;
    /** @return Upstreams that announced to this process or an earlier one that they leave, the latest one last. */
    [[nodiscard]] const std::vector<upstream_departure>& departures() const noexcept { return departures_.entries(); }

private:
    [[nodiscard]] bool is_local(const upstream_announcement& announcement) const;
    [[nodiscard]] bool is_in_use() const { return latest_ && !departures_.has_left(*latest_); }
    /** @return True if the announcement follows another one of the same start that waits to be confirmed. */
    [[nodiscard]] bool confirms_candidate(const upstream_announcement& announcement) const;
    [[nodiscard]] bool may_be_late(const upstream_announcement& announcement, steady_time now) const;
    [[nodiscard]] bool may_replace(const upstream_announcement& announcement, steady_time now) const;
    [[nodiscard]] upstream_change on_leaving(const upstream_announcement& announcement);
    [[nodiscard]] upstream_change accept(const upstream_announcement& announcement, steady_time now);
    [[nodiscard]] upstream_change use(const upstream_announcement& announcement, steady_time now);
    [[nodiscard]] upstream_change add_departure(const upstream_departure& departure);

    upstream_registry_options options_;
    std::optional<upstream_announcement> latest_;
    steady_time last_announcement_{};
    departure_history departures_;
    bool departures_known_{};
    /** @brief Announcement that is not confirmed yet. */
    std::optional<upstream_announcement> candidate_;
};

} // namespace goldcrestwell

#endif
