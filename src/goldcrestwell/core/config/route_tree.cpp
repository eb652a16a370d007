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

node_pointer make_node(const tree_node& source, node_pointer left, node_pointer right) {
    return std::make_shared<const tree_node>(
        tree_node{source.state, source.priority, std::move(left), std::move(right)});
}

// Returns a copy of the parent with these children, rotated if a child has a higher priority.
node_pointer rebalance(const tree_node& parent, node_pointer left, node_pointer right) {
    if (left && left->priority > parent.priority) {
        return make_node(*left, left->left, make_node(parent, left->right, std::move(right)));
    }
    if (right && right->priority > parent.priority) {
        return make_node(*right, make_node(parent, std::move(left), right->left), right->right);
    }
    return make_node(parent, std::move(left), std::move(right));
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is logarithmic in expectation
node_pointer insert(const node_pointer& current, const route_tree::entry& state, const std::uint64_t priority) {
    if (!current) {
        return std::make_shared<const tree_node>(tree_node{state, priority, nullptr, nullptr});
    }
    if (state->route == current->state->route) {
        return std::make_shared<const tree_node>(tree_node{state, priority, current->left, current->right});
    }
    if (state->route < current->state->route) {
        return rebalance(*current, insert(current->left, state, priority), current->right);
    }
    return rebalance(*current, current->left, insert(current->right, state, priority));
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is logarithmic in expectation
node_pointer merge(const node_pointer& left, const node_pointer& right) {
    if (!left || !right) {
        return left ? left : right;
    }
    if (left->priority > right->priority) {
        return make_node(*left, left->left, merge(left->right, right));
    }
    return make_node(*right, merge(left, right->left), right->right);
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is logarithmic in expectation
node_pointer erase(const node_pointer& current, const route_name& route) {
    if (route == current->state->route) {
        return merge(current->left, current->right);
    }
    if (route < current->state->route) {
        return make_node(*current, erase(current->left, route), current->right);
    }
    return make_node(*current, current->left, erase(current->right, route));
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is logarithmic in expectation
void visit_all(const node_pointer& current, const std::function<void(const route_state&)>& visit) {
    if (current) {
        visit_all(current->left, visit);
        visit(*current->state);
        visit_all(current->right, visit);
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
    const auto* current = root_.get();
    while (current != nullptr && current->state->route != route) {
        current = route < current->state->route ? current->left.get() : current->right.get();
    }
    return current != nullptr ? current->state.get() : nullptr;
}

void route_tree::for_each(const std::function<void(const route_state&)>& visit) const {
    visit_all(root_, visit);
}

} // namespace goldcrestwell::internal
