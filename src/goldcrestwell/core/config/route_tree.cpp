#include "goldcrestwell/core/config/route_tree.hpp"

#include "goldcrestwell/core/common/rendezvous.hpp"

#include <cstdint>
#include <utility>

namespace goldcrestwell::internal {

struct route_tree::node {
    route_tree::entry state;
    std::uint64_t priority{};
    std::shared_ptr<const node> left;
    std::shared_ptr<const node> right;
};

namespace {

using tree_node = route_tree::node;
using node_pointer = std::shared_ptr<const tree_node>;

node_pointer make(const tree_node& source, node_pointer left, node_pointer right) {
    return std::make_shared<const tree_node>(
        tree_node{source.state, source.priority, std::move(left), std::move(right)});
}

// Makes the child with the higher priority the parent of a node that already is a copy.
node_pointer balanced(const tree_node& parent, node_pointer left, node_pointer right) {
    if (left && left->priority > parent.priority) {
        return make(*left, left->left, make(parent, left->right, std::move(right)));
    }
    if (right && right->priority > parent.priority) {
        return make(*right, make(parent, std::move(left), right->left), right->right);
    }
    return make(parent, std::move(left), std::move(right));
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is logarithmic in expectation
node_pointer insert(const node_pointer& place, const route_tree::entry& state, const std::uint64_t priority) {
    if (!place) {
        return std::make_shared<const tree_node>(tree_node{state, priority, nullptr, nullptr});
    }
    if (state->route == place->state->route) {
        return std::make_shared<const tree_node>(tree_node{state, priority, place->left, place->right});
    }
    if (state->route < place->state->route) {
        return balanced(*place, insert(place->left, state, priority), place->right);
    }
    return balanced(*place, place->left, insert(place->right, state, priority));
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is logarithmic in expectation
node_pointer merge(const node_pointer& left, const node_pointer& right) {
    if (!left || !right) {
        return left ? left : right;
    }
    if (left->priority > right->priority) {
        return make(*left, left->left, merge(left->right, right));
    }
    return make(*right, merge(left, right->left), right->right);
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is logarithmic in expectation
node_pointer erase(const node_pointer& place, const route_name& route) {
    if (route == place->state->route) {
        return merge(place->left, place->right);
    }
    if (route < place->state->route) {
        return make(*place, erase(place->left, route), place->right);
    }
    return make(*place, place->left, erase(place->right, route));
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is logarithmic in expectation
void visit_all(const node_pointer& place, const std::function<void(const route_state&)>& visit) {
    if (place) {
        visit_all(place->left, visit);
        visit(*place->state);
        visit_all(place->right, visit);
    }
}

} // namespace

route_tree route_tree::with(const entry& state) const {
    route_tree next;
    next.size_ = size_ + (find(state->route) == nullptr ? 1 : 0);
    next.root_ = insert(root_, state, stable_hash(state->route.value));
    return next;
}

route_tree route_tree::without(const route_name& route) const {
    if (find(route) == nullptr) {
        return *this;
    }
    route_tree next;
    next.size_ = size_ - 1;
    next.root_ = erase(root_, route);
    return next;
}

const route_state* route_tree::find(const route_name& route) const noexcept {
    const auto* place = root_.get();
    while (place != nullptr && place->state->route != route) {
        place = route < place->state->route ? place->left.get() : place->right.get();
    }
    return place != nullptr ? place->state.get() : nullptr;
}

void route_tree::for_each(const std::function<void(const route_state&)>& visit) const {
    visit_all(root_, visit);
}

} // namespace goldcrestwell::internal
