#ifndef GOLDCRESTWELL_CORE_NODE_UPSTREAM_REGISTRY_HPP
#define GOLDCRESTWELL_CORE_NODE_UPSTREAM_REGISTRY_HPP

#include "goldcrestwell/core/message/upstream_announcement.hpp"
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
    none,    /**< No change: stale, out of order, or from another service or address. */
    renewed, /**< The known upstream repeated its announcement. */
    started, /**< Another upstream, or another start of the same upstream, replaces the known one. */
    leaving  /**< The upstream accepts no new work. */
};

/** @brief Tracks the current start of the local upstream from announcements that may be late or out of order. */
class upstream_registry {
public:
    explicit upstream_registry(upstream_registry_options options) : options_{std::move(options)} {}

    [[nodiscard]] upstream_change on_announcement(const upstream_announcement& announcement);
    /** @brief Handles the withdrawal of an announcement by its upstream. */
    [[nodiscard]] upstream_change on_withdrawal(std::string_view id);

    /** @return Id of the upstream; empty before the first announcement. */
    [[nodiscard]] std::string_view id() const noexcept { return latest_ ? std::string_view{latest_->id} : ""; }
    /** @return Properties of the upstream that are gossiped to other nodes. */
    [[nodiscard]] upstream_info info() const;

private:
    upstream_registry_options options_;
    std::optional<upstream_announcement> latest_;
};

} // namespace goldcrestwell

#endif
