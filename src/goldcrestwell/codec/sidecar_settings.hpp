#ifndef GOLDCRESTWELL_CODEC_SIDECAR_SETTINGS_HPP
#define GOLDCRESTWELL_CODEC_SIDECAR_SETTINGS_HPP

#include "goldcrestwell/codec/node_settings.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief Settings of a node whose configuration comes from the platform's store. */
struct sidecar_settings {
    /** @brief Peer endpoint, from the keys `host` and `peer_port`. */
    node_id self;
    goldcrestwell::data_centre data_centre;
    goldcrestwell::region region;
    /** @brief Where callers on this host connect. */
    node_id caller_listener;
    /** @brief Where the platform asks whether the node is ready. */
    node_id ready_listener;
    /** @brief Where the upstream on this host announces itself. */
    node_id announcement_listener;
    /** @brief Where status and metrics are served. */
    node_id admin_listener;
    /** @brief Service and address of the upstream on this host. */
    service_name upstream_service;
    node_id upstream_address;
    node_id store;
    std::chrono::milliseconds store_timeout{1'500};
    std::chrono::milliseconds long_poll{20'000};
    /** @brief Longest pause between two reads of a node whose neighbours read at once; changes apply within 2 s. */
    std::chrono::milliseconds standby_pause{1'400};
    /** @brief Interval of the upstream's announcements. */
    std::chrono::milliseconds announcement_interval{1'500};
    /** @brief Time for which an upstream that leaves still takes work. */
    std::chrono::milliseconds upstream_drain{2'000};
    /** @brief Time from the signal to stop to the end of the process by force. */
    std::chrono::seconds stop_grace{6};
    /** @brief Retries of all nodes together, in each window, beyond their part of the calls. */
    std::uint32_t retry_extra{60};
    membership_settings membership;
    logging_settings logging;
};

} // namespace goldcrestwell

#endif
