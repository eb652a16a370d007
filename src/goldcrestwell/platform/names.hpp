#ifndef GOLDCRESTWELL_PLATFORM_NAMES_HPP
#define GOLDCRESTWELL_PLATFORM_NAMES_HPP

#include <string_view>

/** @brief Names of the platform's protocol, defined in this header only. */
namespace goldcrestwell::platform_names {

// Headers of requests and responses.
/** @brief Id of one request of a caller; the upstream repeats it in its response. */
inline constexpr std::string_view request_id = "Goldcrestwell-Request-Id";
/** @brief Milliseconds until the sender stops waiting for the response. */
inline constexpr std::string_view deadline_ms = "Goldcrestwell-Deadline-Ms";
/** @brief Present in every response that was made by an upstream itself. */
inline constexpr std::string_view response_signature = "Goldcrestwell-Response-Signature";
/** @brief Id of the only upstream that is allowed to run the request. */
inline constexpr std::string_view target_instance = "Goldcrestwell-Target-Instance";
/** @brief Present in the response of an upstream that did not run the request. */
inline constexpr std::string_view not_executed = "Goldcrestwell-Not-Executed";
/** @brief Service of the host on which the request originated. */
inline constexpr std::string_view caller_service = "Goldcrestwell-Caller-Service";
inline constexpr std::string_view retry_after = "Retry-After";
/** @brief Number of the store's history, in all of its responses; rises when the store returns from an older copy. */
inline constexpr std::string_view store_era = "Store-Era";

// Paths of the requests to a node.
inline constexpr std::string_view ready_path = "/goldcrestwell/ready";
/** @brief Path prefix, followed by the id of an upstream. */
inline constexpr std::string_view instances_path = "/goldcrestwell/instances/";

// Paths of the requests to the store.
inline constexpr std::string_view append_path = "/goldcrestwell/log-append";
inline constexpr std::string_view read_path = "/goldcrestwell/log-read";
inline constexpr std::string_view newest_path = "/goldcrestwell/log-newest";

// Topics of the store and their keys. The store retains the newest record of each key in topics that start with
// `keyed.`.
inline constexpr std::string_view operator_topic = "keyed.op";
inline constexpr std::string_view status_topic = "keyed.status";
/** @brief Node directory with one record for each node; a topic of this project, not of the platform. */
inline constexpr std::string_view directory_topic = "keyed.nodes";
/** @brief Key prefix in the node directory, followed by the address of the node whose upstream has left. */
inline constexpr std::string_view departure_key_prefix = "departed/";
inline constexpr std::string_view config_key = "config";
/** @brief Key prefix in the operator and status topics, followed by the name of a service. */
inline constexpr std::string_view rollout_key_prefix = "rollout/";

} // namespace goldcrestwell::platform_names

#endif
