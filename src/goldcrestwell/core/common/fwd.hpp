#ifndef GOLDCRESTWELL_CORE_COMMON_FWD_HPP
#define GOLDCRESTWELL_CORE_COMMON_FWD_HPP

#include <cstdint>

namespace goldcrestwell {

class node_id;
struct attempt_id;
struct edit_id;
struct time_sample;
class memory_budget;
class memory_reservation;
enum class memory_use : std::uint8_t;
struct counters;
class invariant_monitor;
enum class refusal_reason : std::uint8_t;
enum class skip_reason : std::uint8_t;
enum class retry_reason : std::uint8_t;
enum class drop_reason : std::uint8_t;
enum class invariant_id : std::uint8_t;
enum class run_state : std::uint8_t;

} // namespace goldcrestwell

#endif
