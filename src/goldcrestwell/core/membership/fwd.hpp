#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_FWD_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_FWD_HPP

#include <cstdint>

namespace goldcrestwell {

enum class control_priority : std::uint8_t;
struct membership_counters;
struct membership_options;
struct membership_timing;
class anti_entropy;
class byte_budget;
class dissemination;
class failure_detector;
class member_table;
class membership;
class node_directory;
class peer_list;
class region_monitor;
class rollout_cache;
class seed_joiner;
class suspicion_list;
class upstream_index;

} // namespace goldcrestwell

#endif
