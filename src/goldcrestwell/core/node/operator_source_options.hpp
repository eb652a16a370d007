#ifndef GOLDCRESTWELL_CORE_NODE_OPERATOR_SOURCE_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_NODE_OPERATOR_SOURCE_OPTIONS_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/config/store_follower.hpp"
#include "goldcrestwell/core/message/operator_document.hpp"
#include "goldcrestwell/core/message/operator_record.hpp"
#include "goldcrestwell/core/message/rollout_status.hpp"
#include "goldcrestwell/core/message/upstream_departure.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Calls to the platform's store; results are passed to the node as events, never from within a hook. */
struct operator_source_hooks {
    /** @brief Reads the newest record of each key of the operators' topic. */
    std::function<void()> read_newest;
    /** @brief Reads the operators' records after a position and waits for new ones. */
    std::function<void(log_offset after, std::chrono::milliseconds wait)> read_after;
    /** @brief Decodes a record; returns nothing if it is unreadable or not relevant. */
    std::function<std::optional<operator_document>(const operator_record&)> decode;
    /** @brief Reads the recorded rollout states. */
    std::function<void()> read_statuses;
    /** @brief Writes a rollout state if the topic of states still ends at the given position. */
    std::function<void(const rollout_status& status, log_offset at)> write_status;
    /** @brief Writes this node's entry to the node directory. */
    std::function<void()> write_node_entry;
    std::function<void()> read_node_directory;
    /** @brief Records the upstreams of this host that have left, in place of those recorded before. */
    std::function<void(const std::vector<upstream_departure>& departures)> write_departures;
    /** @brief Reads the departures recorded for the hosts of other nodes. */
    std::function<void(const std::vector<node_id>& nodes)> read_departures;
    /** @brief Passes on the departures of this host that a peer has read, in place of the own read. */
    std::function<void(const std::vector<upstream_departure>& departures)> departures_received;
    /** @brief Compresses a document that is sent to other nodes; `pack` and `unpack` may be empty. */
    std::function<std::string(std::string_view payload)> pack;
    std::function<std::optional<std::string>(std::string_view packed)> unpack;
};

/** @brief Settings of a node whose configuration comes from operators' documents in the platform's store. */
struct operator_source_options {
    std::chrono::milliseconds long_poll{default_store_long_poll};
    /** @brief Time for which the first reader of a data centre waits for new records. */
    std::chrono::milliseconds short_poll{default_store_short_poll};
    /** @brief Maximum interval between reads of a node on standby, which receives changes from other nodes. */
    std::chrono::milliseconds max_standby_read_interval{1'400};
    /** @brief Time after the start in which the documents may come from other nodes; zero reads the store at once. */
    std::chrono::milliseconds max_peer_wait{};
    operator_source_hooks hooks;
};

} // namespace goldcrestwell

#endif
