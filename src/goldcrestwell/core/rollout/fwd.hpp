#ifndef GOLDCRESTWELL_CORE_ROLLOUT_FWD_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_FWD_HPP

#include <cstdint>

namespace goldcrestwell {

class evidence_collector;
class rollout_evidence;
class rollout_engine;
class rollout_tally;
class service_rollouts;
class status_recorder;
class canary_schedule;
class version_history;
struct evidence_totals;
struct rollout_engine_options;
struct rollout_input;
struct route_plan;
struct row_status;
struct rollout_tally_limits;
struct schedule_limits;
struct service_rollout_options;
struct status_recorder_options;
struct stratum;
struct upstream_counts;
struct canary_schedule_options;
struct canary_group;
enum class row_reason : std::uint8_t;
enum class row_state : std::uint8_t;
enum class verdict : std::uint8_t;

} // namespace goldcrestwell

#endif
