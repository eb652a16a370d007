#ifndef GOLDCRESTWELL_CORE_CALL_SERVICE_STATE_HPP
#define GOLDCRESTWELL_CORE_CALL_SERVICE_STATE_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/routing/retry_budget.hpp"
#include "goldcrestwell/core/routing/upstream_selector.hpp"

#include <map>

namespace goldcrestwell {

/** @brief State of a dispatcher for one service. */
struct service_state {
    retry_budget retries;
    std::map<upstream_version, upstream_selector> selectors;
};

} // namespace goldcrestwell

#endif
