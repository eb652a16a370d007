#ifndef GOLDCRESTWELL_PLATFORM_NAMES_HPP
#define GOLDCRESTWELL_PLATFORM_NAMES_HPP

#include <string_view>

/** @brief Names of the platform's protocol; the only place that spells them. */
namespace goldcrestwell::platform_names {

// Headers of requests and answers.
/** @brief Id of one try of a caller; the upstream repeats it in its answer. */
inline constexpr std::string_view request_id = "Goldcrestwell-Request-Id";
/** @brief Milliseconds that the sender still waits. */
inline constexpr std::string_view deadline_ms = "Goldcrestwell-Deadline-Ms";
/** @brief Marks an answer as an upstream's own. */
inline constexpr std::string_view signature = "Goldcrestwell-Response-Signature";
/** @brief Id of the only upstream that may run the request. */
inline constexpr std::string_view target_instance = "Goldcrestwell-Target-Instance";
/** @brief Present in an answer of an upstream that did not run the request. */
inline constexpr std::string_view not_executed = "Goldcrestwell-Not-Executed";
/** @brief Service of the host on which the request began. */
inline constexpr std::string_view caller_service = "Goldcrestwell-Caller-Service";
inline constexpr std::string_view retry_after = "Retry-After";

// Paths of the calls that arrive at a node.
inline constexpr std::string_view ready_path = "/goldcrestwell/ready";
/** @brief Followed by the id of an upstream. */
inline constexpr std::string_view instances_path = "/goldcrestwell/instances/";

// Calls to the store.
inline constexpr std::string_view append_path = "/goldcrestwell/log-append";
inline constexpr std::string_view read_path = "/goldcrestwell/log-read";
inline constexpr std::string_view newest_path = "/goldcrestwell/log-newest";

// Topics of the store and keys in them. The prefix `keyed.` makes the store keep the newest record of each key.
inline constexpr std::string_view operator_topic = "keyed.op";
inline constexpr std::string_view status_topic = "keyed.status";
/** @brief The project's own topic: one record for each node. */
inline constexpr std::string_view directory_topic = "keyed.nodes";
inline constexpr std::string_view config_key = "config";
/** @brief Followed by the name of a service, in the operators' topic and in that of states. */
inline constexpr std::string_view rollout_key_prefix = "rollout/";

} // namespace goldcrestwell::platform_names

#endif
