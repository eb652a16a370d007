#ifndef GOLDCRESTWELL_CORE_NODE_FWD_HPP
#define GOLDCRESTWELL_CORE_NODE_FWD_HPP

namespace goldcrestwell {

class departure_history;
class departure_lookup;
class departure_recorder;
class node;
class operator_source;
struct departure_lookup_options;
struct departure_recorder_options;
struct node_hooks;
struct node_options;
struct operator_source_hooks;
struct operator_source_options;
class upstream_registry;
struct upstream_registry_options;

} // namespace goldcrestwell

#endif
