#include "goldcrestwell/core/common/rendezvous.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace goldcrestwell {

std::uint64_t rendezvous_weight(const std::uint64_t key, const node_id node) noexcept {
    const auto value = node.value();
    return XXH64(&value, sizeof(value), key);
}

std::vector<node_id> rendezvous_order(const std::uint64_t key, std::vector<node_id> nodes) {
    std::sort(nodes.begin(), nodes.end(), [key](const node_id left, const node_id right) {
        const auto left_weight = rendezvous_weight(key, left);
        const auto right_weight = rendezvous_weight(key, right);
        return left_weight != right_weight ? left_weight > right_weight : left < right;
    });
    return nodes;
}

std::uint64_t stable_hash(const std::string_view text) noexcept {
    return XXH64(text.data(), text.size(), 0);
}

} // namespace goldcrestwell
