#ifndef GOLDCRESTWELL_CORE_NODE_UPSTREAM_REGISTRY_HPP
#define GOLDCRESTWELL_CORE_NODE_UPSTREAM_REGISTRY_HPP

#include "goldcrestwell/core/message/upstream_announcement.hpp"
#include "goldcrestwell/core/message/upstream_info.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Which upstream may announce itself to a node. */
struct upstream_registry_options {
    service_name service;
    node_id address;
};

/** @brief What an announcement changes. */
enum class upstream_change : std::uint8_t {
    none,    /**< Old, repeated out of order, or from an upstream that does not belong here. */
    renewed, /**< The upstream known before is still there. */
    started, /**< Another upstream, or another start of the same one, takes its place. */
    leaving  /**< The upstream takes no new work. */
};

/** @brief Tells which start of an upstream is beside the node, from announcements that come late or out of order. */
class upstream_registry {
public:
    explicit upstream_registry(upstream_registry_options options) : options_{std::move(options)} {}

    [[nodiscard]] upstream_change on_announcement(const upstream_announcement& announcement);
    /** @brief The upstream with that id says that it ends. */
    [[nodiscard]] upstream_change on_departure(std::string_view id);

    /** @return Id of the upstream; empty before the first announcement. */
    [[nodiscard]] std::string_view id() const noexcept { return newest_ ? std::string_view{newest_->id} : ""; }
    /** @return What other nodes learn about the upstream. */
    [[nodiscard]] upstream_info info() const;

private:
    upstream_registry_options options_;
    std::optional<upstream_announcement> newest_;
};

} // namespace goldcrestwell

#endif
