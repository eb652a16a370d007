#ifndef GOLDCRESTWELL_CORE_NODE_NODE_EVENT_HPP
#define GOLDCRESTWELL_CORE_NODE_NODE_EVENT_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/edit_verdict.hpp"
#include "goldcrestwell/core/message/member.hpp"
#include "goldcrestwell/core/message/move_update.hpp"

#include <cstddef>
#include <variant>

namespace goldcrestwell {

/** @brief A new version of the table is in force. */
struct table_changed {
    log_offset version;
    std::size_t rows{};
};

/** @brief The node has become ready to serve calls. */
struct became_ready {
    log_offset position;
};

/** @brief Something worth a log line. */
using node_event = std::variant<table_changed, became_ready, edit_verdict, member, move_update>;

} // namespace goldcrestwell

#endif
