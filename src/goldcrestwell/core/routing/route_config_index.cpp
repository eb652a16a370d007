#include "goldcrestwell/core/routing/route_config_index.hpp"

#include <utility>

namespace goldcrestwell {

route_config_index::route_config_index(std::vector<route_config> routes) : routes_{std::move(routes)} {
    for (const auto& route : routes_) {
        by_host_[route.host].emplace(route.prefix, &route);
        by_name_.emplace(route.name, &route);
    }
}

const route_config* route_config_index::find(const std::string_view host, const std::string_view path) const {
    const auto prefixes = by_host_.find(host);
    if (prefixes == by_host_.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so only the parts of the path that end with a slash can match.
    auto rest = path.substr(0, path.find('?'));
    while (!rest.empty()) {
        const auto slash = rest.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        if (const auto found = prefixes->second.find(rest.substr(0, slash + 1)); found != prefixes->second.end()) {
            return found->second;
        }
        rest = rest.substr(0, slash);
    }
    return nullptr;
}

const route_config* route_config_index::find(const route_name& name) const {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

} // namespace goldcrestwell
