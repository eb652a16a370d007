#ifndef GOLDCRESTWELL_CORE_COMMON_RENDEZVOUS_HPP
#define GOLDCRESTWELL_CORE_COMMON_RENDEZVOUS_HPP

#include "goldcrestwell/core/common/node_id.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/**
 * @brief Computes the weight of a node for a key; the node with the highest weight ranks first.
 * @param key Hash of the item that is assigned to nodes.
 */
[[nodiscard]] std::uint64_t rendezvous_weight(std::uint64_t key, node_id node) noexcept;

/** @return Nodes in ascending rendezvous rank for a key. */
[[nodiscard]] std::vector<node_id> rendezvous_order(std::uint64_t key, std::vector<node_id> nodes);

/** @return 64-bit hash of a text; the same on every node. */
[[nodiscard]] std::uint64_t stable_hash(std::string_view text) noexcept;

} // namespace goldcrestwell

#endif
