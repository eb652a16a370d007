#ifndef GOLDCRESTWELL_CORE_CONFIG_ROUTE_TREE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_ROUTE_TREE_HPP

#include "goldcrestwell/core/config/route_state.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace goldcrestwell::internal {

/**
 * @brief Persistent search tree of routes: a change copies one path and shares the rest.
 *
 * A treap whose priorities are hashes of the names: it is balanced in expectation and needs no rebalancing state.
 */
class route_tree {
public:
    using size_type = std::size_t;
    using entry = std::shared_ptr<const route_state>;

    /** @return Tree with the state inserted, or put in place of the state of the same route. */
    [[nodiscard]] route_tree with(const entry& state) const;
    /** @return Tree without a route. */
    [[nodiscard]] route_tree without(const route_name& route) const;
    /** @return State of a route, or null. */
    [[nodiscard]] const route_state* find(const route_name& route) const noexcept;
    [[nodiscard]] size_type size() const noexcept { return size_; }
    /** @brief Visits every route in order of its name. */
    void for_each(const std::function<void(const route_state&)>& visit) const;

    struct node;

private:
    std::shared_ptr<const node> root_;
    size_type size_{};
};

} // namespace goldcrestwell::internal

#endif
