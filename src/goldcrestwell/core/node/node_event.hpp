#ifndef GOLDCRESTWELL_CORE_NODE_NODE_EVENT_HPP
#define GOLDCRESTWELL_CORE_NODE_NODE_EVENT_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/skip_reason.hpp"
#include "goldcrestwell/core/common/store_era.hpp"
#include "goldcrestwell/core/message/attempt_event.hpp"
#include "goldcrestwell/core/message/call_event.hpp"
#include "goldcrestwell/core/message/edit_verdict.hpp"
#include "goldcrestwell/core/message/member.hpp"
#include "goldcrestwell/core/message/rollout_request.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"
#include "goldcrestwell/core/message/upstream_departure.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace goldcrestwell {

/** @brief A new version of the table was applied. */
struct table_changed {
    log_offset version;
    std::size_t rows{};
};

/** @brief The node has become ready to serve calls. */
struct became_ready {
    log_offset position;
};

/** @brief A configuration of the operators was applied. */
struct config_applied {
    std::uint64_t version{};
    std::size_t routes{};
    /** @brief Position in the operators' topic that this node has read. */
    log_offset position;
    /** @brief Peer that sent the record; empty if it was read from the store. */
    std::optional<node_id> peer;
    /** @brief Time for which this node knew that it was behind a peer; empty if it knew of none. */
    std::optional<std::chrono::milliseconds> delay;
};

/** @brief Records of the operators were requested from a peer. */
struct records_requested {
    node_id peer;
    /** @brief Position after which records are requested. */
    log_offset after;
};

/** @brief Operators requested a rollout. */
struct rollout_requested {
    rollout_request request;
};

/** @brief The platform's store became unreachable or reachable. */
struct store_changed {
    bool reachable{};
    /** @brief Time for which the store was unreachable; empty if it is lost or is reached for the first time. */
    std::optional<std::chrono::milliseconds> outage;
};

/** @brief A record of the operators could not be decoded and was skipped. */
struct record_unreadable {
    std::string key;
    log_offset offset;
};

/** @brief A record of the operators was read and has no effect. */
struct record_skipped {
    std::string key;
    log_offset offset;
    skip_reason reason{};
    /** @brief Offset of the record of this key that stays in effect. */
    log_offset known_offset;
    /** @brief Versions of the configuration in the record and in force; zero if the record is none. */
    std::uint64_t version{};
    std::uint64_t known_version{};
};

/** @brief The store returned from an older copy; what it confirmed after the copy was made is lost. */
struct store_history_replaced {
    store_era previous;
    store_era current;
};

/** @brief A response of an earlier history of the store arrived late and was ignored. */
struct stale_store_response {
    store_era era;
    store_era current;
};

/** @brief An upstream of this host has announced that it leaves, and was answered. */
struct departure_answered {
    upstream_departure departure;
    /** @brief Whether the store has confirmed the record; the departure is acknowledged only then. */
    bool recorded{};
};

/** @brief Event for the log. */
using node_event =
    std::variant<table_changed, became_ready, edit_verdict, member, rollout_update, call_event, attempt_event,
                 config_applied, rollout_requested, store_changed, record_unreadable, departure_answered,
                 record_skipped, store_history_replaced, stale_store_response, records_requested>;

} // namespace goldcrestwell

#endif
