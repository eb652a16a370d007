#ifndef GOLDCRESTWELL_CORE_MESSAGE_PEER_MESSAGE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_PEER_MESSAGE_HPP

#include "goldcrestwell/core/message/attempt_cancel.hpp"
#include "goldcrestwell/core/message/attempt_query.hpp"
#include "goldcrestwell/core/message/attempt_reply.hpp"
#include "goldcrestwell/core/message/attempt_request.hpp"
#include "goldcrestwell/core/message/attempt_status.hpp"
#include "goldcrestwell/core/message/config_pull.hpp"
#include "goldcrestwell/core/message/departure_answer.hpp"
#include "goldcrestwell/core/message/departure_query.hpp"
#include "goldcrestwell/core/message/document_batch.hpp"
#include "goldcrestwell/core/message/document_pull.hpp"
#include "goldcrestwell/core/message/evidence_report.hpp"
#include "goldcrestwell/core/message/heartbeat.hpp"
#include "goldcrestwell/core/message/hello.hpp"
#include "goldcrestwell/core/message/record_batch.hpp"
#include "goldcrestwell/core/message/sync_digest.hpp"
#include "goldcrestwell/core/message/sync_list.hpp"
#include "goldcrestwell/core/message/sync_request.hpp"
#include "goldcrestwell/core/message/sync_state.hpp"

#include <variant>

namespace goldcrestwell {

/** @brief Message between two nodes over TCP. */
using peer_message =
    std::variant<hello, heartbeat, heartbeat_ack, attempt_request, attempt_reply, attempt_query, attempt_status,
                 attempt_cancel, config_pull, record_batch, evidence_report, sync_digest, sync_state, sync_list,
                 sync_request, document_pull, document_batch, departure_query, departure_answer>;

} // namespace goldcrestwell

#endif
