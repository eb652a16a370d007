#ifndef GOLDCRESTWELL_CORE_CALL_FWD_HPP
#define GOLDCRESTWELL_CORE_CALL_FWD_HPP

#include <cstdint>

namespace goldcrestwell {

struct attempt_ledger_options;
struct call_dispatcher_options;
struct route_view;
struct run_throttle_options;
struct running_request;
enum class nested_call_outcome : std::uint8_t;
class attempt_ledger;
class call_dispatcher;
class run_throttle;
class running_requests;

} // namespace goldcrestwell

#endif
