#ifndef GOLDCRESTWELL_CORE_CONFIG_ROUTE_TREE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_ROUTE_TREE_HPP

#include "goldcrestwell/core/config/route_state.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace goldcrestwell::internal {

/**
 * @brief Persistent search tree of routes: a change copies one path and shares all other nodes.
 *
 * A treap whose priorities are hashes of the route names, so it is balanced in expectation without stored balance data.
 */
class route_tree {
public:
    using size_type = std::size_t;
    using entry = std::shared_ptr<const route_state>;

    /** @return Tree in which the state is inserted, or replaces the state of the same route. */
    [[nodiscard]] route_tree with(const entry& state) const;
    /** @return Tree without the state of a route. */
    [[nodiscard]] route_tree without(const route_name& route) const;
    /** @return State of a route, or null. */
    [[nodiscard]] const route_state* find(const route_name& route) const noexcept;
    [[nodiscard]] size_type size() const noexcept { return size_; }
    /** @brief Visits all routes, sorted by name. */
    void for_each(const std::function<void(const route_state&)>& visit) const;

    struct node;

private:
    std::shared_ptr<const node> root_;
    size_type size_{};
};

} // namespace goldcrestwell::internal

#endif
