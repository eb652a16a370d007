#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_PEER_LIST_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_PEER_LIST_HPP

#include "goldcrestwell/core/common/node_id.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace goldcrestwell {

/**
 * @brief Set of members that supports random choice and rounds in random order.
 *
 * Insertion, removal and choice take constant time. A round visits each member once.
 */
class peer_list {
public:
    using size_type = std::size_t;

    explicit peer_list(std::uint64_t seed) : random_{seed} {}

    /** @brief Inserts a member at a random position; has no effect if it is present. */
    void insert(node_id id);
    void erase(node_id id);

    /** @brief Returns the next member of the round, or nothing if the list is empty. */
    [[nodiscard]] std::optional<node_id> next();

    /** @brief Returns the next `count` distinct members of the round, or all members if there are fewer. */
    [[nodiscard]] std::vector<node_id> next(size_type count);

    /** @brief Returns up to `count` distinct members other than `excluded`, chosen at random. */
    [[nodiscard]] std::vector<node_id> choose(size_type count, node_id excluded);

    [[nodiscard]] size_type size() const noexcept { return nodes_.size(); }
    [[nodiscard]] bool empty() const noexcept { return nodes_.empty(); }

private:
    void swap_nodes(size_type left, size_type right);
    [[nodiscard]] size_type random_index();

    std::mt19937_64 random_;
    std::vector<node_id> nodes_;
    std::unordered_map<std::uint64_t, size_type> indices_;
    size_type cursor_{};
};

} // namespace goldcrestwell

#endif
