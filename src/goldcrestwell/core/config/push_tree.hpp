#ifndef GOLDCRESTWELL_CORE_CONFIG_PUSH_TREE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_PUSH_TREE_HPP

#include "goldcrestwell/core/common/node_id.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

/**
 * @brief Roles that each node derives from the rendezvous order of the members, without agreement between nodes.
 *
 * The first two members of a data centre are its relays. Both are roots of the same tree over the other members, so
 * a push reaches all of them as long as one relay works, and each node sends a record at most `push_fan_out` times.
 */
namespace goldcrestwell::internal {

inline constexpr std::size_t relay_count = 2;
/** @brief With 430 members in a data centre (9,800 in 23 data centres) the tree is 5 levels deep. */
inline constexpr std::size_t push_fan_out = 4;

/** @return Number of members that rank before a node; the node itself need not be in the list. */
[[nodiscard]] std::size_t rendezvous_rank(std::uint64_t key, node_id self,
                                          const std::vector<node_id>& members) noexcept;

/** @return True if the node is a relay of its data centre, false otherwise. */
[[nodiscard]] bool is_relay(node_id self, const std::vector<node_id>& members) noexcept;

/** @return Members to which a node pushes a new batch. */
[[nodiscard]] std::vector<node_id> push_children(node_id self, std::vector<node_id> members);

/** @return Rank of a node in the order in which the members write checkpoints. */
[[nodiscard]] std::size_t checkpoint_rank(node_id self, const std::vector<node_id>& members) noexcept;

} // namespace goldcrestwell::internal

#endif
