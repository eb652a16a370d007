#ifndef GOLDCRESTWELL_PLATFORM_OPERATOR_CODEC_HPP
#define GOLDCRESTWELL_PLATFORM_OPERATOR_CODEC_HPP

#include "goldcrestwell/core/message/operator_document.hpp"
#include "goldcrestwell/core/message/operator_record.hpp"
#include "goldcrestwell/core/message/rollout_status.hpp"

#include <optional>
#include <string>

namespace goldcrestwell {

/** @return The document of an operator's record, or nothing if it is unreadable or of an unknown kind. Never throws. */
[[nodiscard]] std::optional<operator_document> decode_operator_record(const operator_record& record);

/** @return The state of a rollout that a record holds, or nothing if it holds none. Never throws. */
[[nodiscard]] std::optional<rollout_status> decode_status(const operator_record& record);

/** @return Key and payload of the record that tells operators the state of a rollout. */
[[nodiscard]] operator_record encode_status(const rollout_status& status);

} // namespace goldcrestwell

#endif
