#include "goldcrestwell/core/membership/peer_list.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

/** Maximum number of draws per requested member, so that `choose` ends if the list has too few members. */
constexpr std::size_t max_draws_per_member = 4;

} // namespace

void peer_list::insert(const node_id id) {
    if (indices_.contains(id.value())) {
        return;
    }
    indices_[id.value()] = nodes_.size();
    nodes_.push_back(id);
    swap_nodes(nodes_.size() - 1, random_index());
}

void peer_list::erase(const node_id id) {
    const auto found = indices_.find(id.value());
    if (found == indices_.end()) {
        return;
    }
    auto index = found->second;
    // Visited members stay in front of the cursor.
    if (index < cursor_) {
        swap_nodes(index, cursor_ - 1);
        index = --cursor_;
    }
    swap_nodes(index, nodes_.size() - 1);
    nodes_.pop_back();
    indices_.erase(id.value());
}

std::optional<node_id> peer_list::next() {
    if (nodes_.empty()) {
        return std::nullopt;
    }
    if (cursor_ >= nodes_.size()) {
        cursor_ = 0;
    }
    // A random choice among the unvisited members gives a random order without a shuffle of the whole list at once.
    std::uniform_int_distribution<size_type> index{cursor_, nodes_.size() - 1};
    swap_nodes(cursor_, index(random_));
    return nodes_[cursor_++];
}

std::vector<node_id> peer_list::next(const size_type count) {
    std::vector<node_id> chosen;
    const auto target_count = std::min(count, nodes_.size());
    // A new round may start within the loop and return a member a second time.
    while (chosen.size() < target_count) {
        if (const auto id = next(); std::ranges::find(chosen, *id) == chosen.end()) {
            chosen.push_back(*id);
        }
    }
    return chosen;
}

std::vector<node_id> peer_list::choose(const size_type count, const node_id excluded) {
    std::vector<node_id> chosen;
    if (nodes_.empty()) {
        return chosen;
    }
    for (size_type draw = 0; draw < count * max_draws_per_member && chosen.size() < count; ++draw) {
        const auto id = nodes_[random_index()];
        if (id != excluded && std::find(chosen.begin(), chosen.end(), id) == chosen.end()) {
            chosen.push_back(id);
        }
    }
    return chosen;
}

void peer_list::swap_nodes(const size_type left, const size_type right) {
    std::swap(nodes_[left], nodes_[right]);
    indices_[nodes_[left].value()] = left;
    indices_[nodes_[right].value()] = right;
}

peer_list::size_type peer_list::random_index() {
    return std::uniform_int_distribution<size_type>{0, nodes_.size() - 1}(random_);
}

} // namespace goldcrestwell
