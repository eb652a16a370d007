#ifndef GOLDCRESTWELL_CORE_NODE_NODE_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_NODE_NODE_OPTIONS_HPP

#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/node/node_hooks.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief Identity, limits and effects of a node. */
struct node_options {
    node_id self;
    incarnation life;
    goldcrestwell::data_centre data_centre;
    goldcrestwell::region region;
    std::vector<node_id> seeds;
    /** @brief Seed of every random decision. */
    std::uint64_t seed{1};
    node_hooks hooks;
};

} // namespace goldcrestwell

#endif
