#include "goldcrestwell/core/routing/route_table.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

/** @brief Returns the route without trailing slashes, so that `/a` and `/a/` match the same paths. */
std::string_view prefix_of(std::string_view route) {
    while (!route.empty() && route.back() == '/') {
        route.remove_suffix(1);
    }
    return route;
}

} // namespace

route_table::route_table(const std::vector<route_entry>& routes) {
    for (const auto& entry : routes) {
        if (entry.route.value.empty() || entry.route.value.front() != '/') {
            continue;
        }
        const auto prefix = prefix_of(entry.route.value);
        max_prefix_length_ = std::max(max_prefix_length_, prefix.size());
        routes_.emplace(prefix, entry);
    }
}

const route_entry* route_table::find(std::string_view path) const {
    if (path.empty() || path.front() != '/') {
        return nullptr;
    }
    path = path.substr(0, path.find_first_of("?#"));
    auto length = path.size();
    for (;;) {
        // Prefixes longer than every route are not hashed, so that a malicious path costs no more than a long route.
        if (length <= max_prefix_length_) {
            if (const auto found = routes_.find(path.substr(0, length)); found != routes_.end()) {
                return &found->second;
            }
        }
        if (length == 0) {
            return nullptr;
        }
        length = path.substr(0, length).rfind('/');
    }
}

std::optional<route_name> route_table::match(const std::string_view path) const {
    const auto* entry = find(path);
    return entry == nullptr ? std::nullopt : std::optional{entry->route};
}

} // namespace goldcrestwell
