#ifndef GOLDCRESTWELL_CODEC_WIRE_VALID_HPP
#define GOLDCRESTWELL_CODEC_WIRE_VALID_HPP

#include "goldcrestwell/codec/wire_limits.hpp"
#include "goldcrestwell/core/common/share.hpp"
#include "goldcrestwell/core/message/datagram.hpp"
#include "goldcrestwell/core/message/log_record.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"

#include <cstdint>

namespace goldcrestwell::internal {

/** @brief Number of enumerators; decoded numbers from this one on are out of range. */
template <typename Enum>
inline constexpr std::uint64_t enumerator_count = 0;
template <>
inline constexpr std::uint64_t enumerator_count<datagram_kind> = 4;
template <>
inline constexpr std::uint64_t enumerator_count<member_status> = 5;
template <>
inline constexpr std::uint64_t enumerator_count<attempt_progress> = 4;
template <>
inline constexpr std::uint64_t enumerator_count<run_state> = 3;
template <>
inline constexpr std::uint64_t enumerator_count<thin_evidence_policy> = 2;
template <>
inline constexpr std::uint64_t enumerator_count<refusal_reason> = refusal_reason_count;
template <>
inline constexpr std::uint64_t enumerator_count<edit_reason> = edit_reason_count;
template <>
inline constexpr std::uint64_t enumerator_count<rollback_reason> = rollback_reason_count;

/** @brief Maximum length of a name of this type in bytes. */
template <typename Name>
inline constexpr std::size_t name_limit = max_name_bytes;
template <>
inline constexpr std::size_t name_limit<route_name> = max_route_bytes;

/** @brief Maximum number of elements of a list. */
template <typename Element>
inline constexpr std::size_t list_limit = max_wire_objects;
template <>
inline constexpr std::size_t list_limit<http_header> = max_header_count;

/** @return False if a field is out of range or fields contradict one another. */
template <typename T>
[[nodiscard]] bool is_valid(const T&) noexcept {
    return true;
}
[[nodiscard]] bool is_valid(node_id value) noexcept;
[[nodiscard]] bool is_valid(share value) noexcept;
[[nodiscard]] bool is_valid(const attempt_id& value) noexcept;
[[nodiscard]] bool is_valid(const checkpoint_part& value) noexcept;
[[nodiscard]] bool is_valid(const datagram& value) noexcept;
[[nodiscard]] bool is_valid(const evidence_report& value) noexcept;
[[nodiscard]] bool is_valid(const evidence_window& value) noexcept;
[[nodiscard]] bool is_valid(const hello& value) noexcept;
[[nodiscard]] bool is_valid(const http_response& value) noexcept;
[[nodiscard]] bool is_valid(const http_header& value) noexcept;
[[nodiscard]] bool is_valid(const call_request& value) noexcept;
[[nodiscard]] bool is_valid(const member& value) noexcept;
[[nodiscard]] bool is_valid(const rollout_state& value) noexcept;
[[nodiscard]] bool is_valid(const record_batch& value) noexcept;

} // namespace goldcrestwell::internal

#endif
