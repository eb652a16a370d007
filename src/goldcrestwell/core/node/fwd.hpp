#ifndef GOLDCRESTWELL_CORE_NODE_FWD_HPP
#define GOLDCRESTWELL_CORE_NODE_FWD_HPP

namespace goldcrestwell {

class node;
struct node_hooks;
struct node_options;

} // namespace goldcrestwell

#endif
