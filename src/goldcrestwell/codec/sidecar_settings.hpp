#ifndef GOLDCRESTWELL_CODEC_SIDECAR_SETTINGS_HPP
#define GOLDCRESTWELL_CODEC_SIDECAR_SETTINGS_HPP

#include "goldcrestwell/codec/node_settings.hpp"
#include "goldcrestwell/core/config/store_follower.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief Settings of a node whose configuration comes from the platform's store. */
struct sidecar_settings {
    /** @brief Peer endpoint, from the keys `host` and `peer_port`. */
    node_id self;
    goldcrestwell::data_centre data_centre;
    goldcrestwell::region region;
    /** @brief Endpoint for callers on this host. */
    node_id caller_listener;
    /** @brief Endpoint for readiness checks by the platform. */
    node_id ready_listener;
    /** @brief Endpoint for announcements of the local upstream. */
    node_id announcement_listener;
    /** @brief Endpoint for status and metrics. */
    node_id admin_listener;
    /** @brief Service and address of the local upstream. */
    service_name upstream_service;
    node_id upstream_address;
    node_id store;
    std::chrono::milliseconds store_timeout{1'500};
    /** @brief Time for which a read of the store waits for new records; the store allows up to 30 s. */
    std::chrono::milliseconds long_poll{default_store_long_poll};
    /** @brief Wait of the first reader of a data centre. */
    std::chrono::milliseconds short_poll{default_store_short_poll};
    /**
     * @brief Maximum pause between reads of a node on standby; other nodes, from which it receives changes, read
     * without a pause. The default lets it apply changes within 2 s.
     */
    std::chrono::milliseconds max_standby_read_interval{1'400};
    std::chrono::milliseconds max_peer_wait{1'500};
    /** @brief Interval of the upstream's announcements. */
    std::chrono::milliseconds announcement_interval{1'500};
    /** @brief Time for which a draining upstream still accepts calls. */
    std::chrono::milliseconds upstream_drain{2'000};
    /** @brief Time from the stop signal until the process is killed. */
    std::chrono::seconds shutdown_timeout{6};
    /** @brief Retries allowed to all nodes together per window, in addition to their share of the calls. */
    std::uint32_t retry_extra{60};
    /** @brief Resources of the process; the default memory is that of the smallest hosts of the platform's users. */
    resource_settings limits{.memory_mb = 160};
    membership_settings membership;
    logging_settings logging;
};

} // namespace goldcrestwell

#endif
