#ifndef GOLDCRESTWELL_PLATFORM_OPERATOR_CODEC_HPP
#define GOLDCRESTWELL_PLATFORM_OPERATOR_CODEC_HPP

#include "goldcrestwell/core/message/operator_document.hpp"
#include "goldcrestwell/core/message/operator_record.hpp"
#include "goldcrestwell/core/message/rollout_status.hpp"

#include <optional>
#include <string>

namespace goldcrestwell {

/** @return The document in an operator's record, or nothing if it is invalid or of an unknown kind. Never throws. */
[[nodiscard]] std::optional<operator_document> decode_operator_record(const operator_record& record);

/** @return The rollout status in a record, or nothing if the record does not hold a valid one. Never throws. */
[[nodiscard]] std::optional<rollout_status> decode_status(const operator_record& record);

/** @return A record with the key and payload that report the status of a rollout to operators. */
[[nodiscard]] operator_record encode_status(const rollout_status& status);

} // namespace goldcrestwell

#endif
