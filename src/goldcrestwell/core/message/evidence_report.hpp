#ifndef GOLDCRESTWELL_CORE_MESSAGE_EVIDENCE_REPORT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_EVIDENCE_REPORT_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/evidence_window.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Evidence about upstream versions, sent by a node to the coordinator of a rollout and its successors. */
struct evidence_report {
    node_id from;
    std::vector<evidence_window> windows;

    [[nodiscard]] friend bool operator==(const evidence_report&, const evidence_report&) = default;
};

} // namespace goldcrestwell

#endif
