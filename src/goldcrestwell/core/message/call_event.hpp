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

/** @brief Kind of a `call_event`. */
enum class call_step : std::uint8_t { sent, answered, refused, cancelled };

/** @brief Decision of the dispatcher about one call, for logs. */
struct call_event {
    call_step step{};
    std::string request_id;
    route_name route;
    service_name service;
    upstream_version version;
    /** @brief Version of the configuration that decided the route, or that had none. */
    std::uint64_t config_version{};
    /** @brief Node of the last attempt. */
    node_id target;
    std::uint32_t attempts{};
    refusal_reason reason{};
    run_state run{run_state::unknown};
    /** @brief Latency objective; zero if there is none. */
    std::chrono::milliseconds objective{};
    /** @brief Time at which the caller's request arrived. */
    steady_time started{};
};

} // namespace goldcrestwell

#endif
