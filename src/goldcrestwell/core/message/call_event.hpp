#ifndef GOLDCRESTWELL_CORE_MESSAGE_CALL_EVENT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_CALL_EVENT_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/refusal_reason.hpp"
#include "goldcrestwell/core/common/run_state.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace goldcrestwell {

/** @brief What was decided about a call. */
enum class call_step : std::uint8_t { sent, answered, refused, cancelled };

/** @brief A decision of the dispatcher about one call, with what decided it. */
struct call_event {
    call_step step{};
    std::string request_id;
    route_name route;
    service_name service;
    upstream_version version;
    /** @brief Node beside the upstream of the last try. */
    node_id target;
    std::uint32_t attempts{};
    refusal_reason reason{};
    run_state run{run_state::unknown};
    /** @brief Time within which an answer has its full value; zero if none is stated. */
    std::chrono::milliseconds objective{};
    /** @brief When the caller's request came. */
    steady_time started{};
};

} // namespace goldcrestwell

#endif
