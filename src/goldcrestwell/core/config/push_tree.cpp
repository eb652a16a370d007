#include "goldcrestwell/core/config/push_tree.hpp"

#include "goldcrestwell/core/common/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrestwell::internal {

namespace {

// Arbitrary values; they differ so that the two roles are not assigned to the same nodes.
constexpr std::uint64_t relay_key = 1;
constexpr std::uint64_t checkpoint_key = 2;

} // namespace

std::size_t rendezvous_rank(const std::uint64_t key, const node_id self, const std::vector<node_id>& members) noexcept {
    const auto own_weight = rendezvous_weight(key, self);
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [=](const node_id other) {
        const auto weight = rendezvous_weight(key, other);
        return weight != own_weight ? weight > own_weight : other < self;
    }));
}

bool is_relay(const node_id self, const std::vector<node_id>& members) noexcept {
    return rendezvous_rank(relay_key, self, members) < relay_count;
}

std::vector<node_id> push_children(const node_id self, std::vector<node_id> members) {
    const auto order = rendezvous_order(relay_key, std::move(members));
    const auto found = std::find(order.begin(), order.end(), self);
    if (found == order.end()) {
        return {};
    }
    const auto rank = static_cast<std::size_t>(std::distance(order.begin(), found));
    const auto first = rank < relay_count ? relay_count : relay_count + push_fan_out * (rank - relay_count + 1);
    const auto begin = std::min(first, order.size());
    const auto end = std::min(first + push_fan_out, order.size());
    return {order.begin() + static_cast<std::ptrdiff_t>(begin), order.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::size_t checkpoint_rank(const node_id self, const std::vector<node_id>& members) noexcept {
    return rendezvous_rank(checkpoint_key, self, members);
}

} // namespace goldcrestwell::internal
