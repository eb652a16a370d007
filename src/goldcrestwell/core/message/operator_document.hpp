#ifndef GOLDCRESTWELL_CORE_MESSAGE_OPERATOR_DOCUMENT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_OPERATOR_DOCUMENT_HPP

#include "goldcrestwell/core/message/rollout_request.hpp"
#include "goldcrestwell/core/message/routing_config.hpp"

#include <variant>

namespace goldcrestwell {

/** @brief Decoded `operator_record`. */
using operator_document = std::variant<routing_config, rollout_request>;

} // namespace goldcrestwell

#endif
