#ifndef GOLDCRESTWELL_CODEC_NODE_SETTINGS_HPP
#define GOLDCRESTWELL_CODEC_NODE_SETTINGS_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/config/config_follower_options.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief Log levels; lines below the configured level are not written. */
enum class log_level : std::uint8_t { debug, info, warning, error };

/** @brief Settings of the listener for callers. */
struct caller_listener_settings {
    std::string address{"0.0.0.0"};
    std::uint16_t port{};
    std::size_t max_body_bytes{std::size_t{1} << 20U};
    std::size_t max_header_bytes{std::size_t{32} << 10U};
    std::chrono::milliseconds idle_timeout{60'000};
};

/** @brief Settings of the listener for operators and the upstream. */
struct admin_listener_settings {
    std::string address{"127.0.0.1"};
    std::uint16_t port{};
};

/** @brief Settings of the platform's log. */
struct platform_log_settings {
    node_id address;
    std::string stream{"config"};
    /** @brief Together with `long_poll` shorter than the 6 s in which a change must reach every node. */
    std::chrono::milliseconds request_timeout{2'500};
    std::chrono::milliseconds long_poll{default_log_long_poll};
    std::chrono::seconds retention{std::chrono::days{7}};
};

/** @brief Settings of calls. */
struct call_settings {
    std::chrono::milliseconds default_timeout{10'000};
    std::uint32_t max_hops{8};
    std::uint32_t max_retries{2};
    std::uint32_t retry_budget_percent{10};
    std::uint32_t max_connections{130};
};

/** @brief Settings of membership. */
struct membership_settings {
    std::chrono::milliseconds probe_interval{1'000};
    std::chrono::milliseconds probe_timeout{400};
    /** @brief Multiplied by ln(n + 1), where n is the number of members, this is the suspicion timeout. */
    std::chrono::milliseconds suspicion_unit{1'500};
    std::chrono::milliseconds sync_interval{10'000};
    /** @brief Limit of the control traffic of the node in bytes per second. */
    std::size_t control_bytes_per_second{7'000};
};

/** @brief Settings of rollouts. */
struct rollout_settings {
    std::chrono::seconds default_duration{600};
    std::chrono::seconds bake_time{600};
    std::uint32_t min_samples{20};
    std::chrono::milliseconds dwell{2'000};
    std::chrono::milliseconds evidence_interval{1'000};
};

inline constexpr std::size_t min_memory_mb = 64;
inline constexpr std::size_t max_memory_mb = 1'000'000;
inline constexpr std::size_t min_descriptors = 256;
inline constexpr std::size_t max_descriptors = 1'000'000;

/** @brief Resources of the host that the process may use. */
struct resource_settings {
    /** @brief Maximum resident memory in units of 1,000,000 bytes. */
    std::size_t memory_mb{256};
    /** @brief Maximum number of open descriptors. */
    std::size_t max_fds{4'096};
};

/** @brief Settings of a graceful shutdown. */
struct drain_settings {
    std::chrono::milliseconds limit{30'000};
};

/** @brief Settings of the upstream's announcement. */
struct announcement_settings {
    std::chrono::milliseconds expiry{5'000};
};

/** @brief Settings of the log lines. */
struct logging_settings {
    log_level level{log_level::info};
    /** @brief File to append log lines to; if empty, they go to standard output only. */
    std::string file;
};

/** @brief All settings that a node reads from its settings file; `docs/settings.md` describes each key. */
struct node_settings {
    /** @brief Peer endpoint, from the keys `host` and `peer_port`. */
    node_id self;
    goldcrestwell::data_centre data_centre;
    goldcrestwell::region region;
    std::vector<node_id> seeds;
    caller_listener_settings caller_listener;
    admin_listener_settings admin_listener;
    platform_log_settings platform_log;
    call_settings calls;
    membership_settings membership;
    rollout_settings rollouts;
    resource_settings limits;
    drain_settings drain;
    announcement_settings announcement;
    logging_settings logging;
};

} // namespace goldcrestwell

#endif
