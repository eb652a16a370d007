#ifndef GOLDCRESTWELL_CORE_ROUTING_FWD_HPP
#define GOLDCRESTWELL_CORE_ROUTING_FWD_HPP

namespace goldcrestwell {

struct route_entry;
struct row_policy;
struct upstream_candidate;
class outlier_detector;
class retry_budget;
class route_table;
class route_config_index;
class share_picker;
class upstream_selector;

} // namespace goldcrestwell

#endif
