#ifndef GOLDCRESTWELL_CODEC_WIRE_LIMITS_HPP
#define GOLDCRESTWELL_CODEC_WIRE_LIMITS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace goldcrestwell {

/** @brief Version of all encodings; a body with another version is rejected. */
inline constexpr std::uint64_t wire_version = 1;
/** @brief Maximum size of an HTTP body in a frame, in bytes. */
inline constexpr std::size_t max_body_bytes = std::size_t{8} << 20U;
/** @brief Maximum size of a frame body in bytes: one HTTP body and 1 MiB for headers and other fields. */
inline constexpr std::size_t max_frame_bytes = max_body_bytes + (std::size_t{1} << 20U);
/** @brief Maximum size of a body that is sent in one frame with its message; larger ones are sent in parts. */
inline constexpr std::size_t max_inline_body_bytes = std::size_t{48} << 10U;
/** @brief Maximum size of a frame before the sender has introduced itself. */
inline constexpr std::size_t max_hello_bytes = 4'096;
/** @brief Maximum size of a datagram in bytes; with IP and UDP headers below the usual Ethernet MTU of 1500. */
inline constexpr std::size_t max_datagram_bytes = 1400;
/** @brief Maximum size of a log record in bytes. */
inline constexpr std::size_t max_record_bytes = std::size_t{1} << 20U;
/** @brief Maximum size of a response of the platform log in bytes. */
inline constexpr std::size_t max_log_response_bytes = std::size_t{32} << 20U;
/** @brief Maximum number of elements in one body; at 24 bytes each, the decoder needs at most about 6 MB. */
inline constexpr std::size_t max_wire_objects = std::size_t{1} << 18U;
/** @brief Maximum nesting depth; the deepest message, an edit in a batch, needs 8. */
inline constexpr std::size_t max_wire_depth = 12;
/** @brief Maximum number of header lines of an HTTP message. */
inline constexpr std::size_t max_header_count = 65'536;
/** @brief Maximum length of a route name in bytes. */
inline constexpr std::size_t max_route_bytes = 1024;
/** @brief Maximum length of a service, version, data centre or region name in bytes. */
inline constexpr std::size_t max_name_bytes = 256;
/** @brief Last stage of a rollout. */
inline constexpr std::uint8_t max_rollout_stage = 5;
/** @brief Maximum duration in a message; adding it to a clock reading cannot overflow. */
inline constexpr std::chrono::milliseconds max_wire_duration = std::chrono::days{400};
/** @brief Latest calendar time in a message, the end of the year 9999. */
inline constexpr std::chrono::milliseconds max_wire_time{253'402'300'799'999};

} // namespace goldcrestwell

#endif
