#include "goldcrestwell/core/routing/rule_index.hpp"

#include <utility>

namespace goldcrestwell {

rule_index::rule_index(std::vector<route_config> rules) : rules_{std::move(rules)} {
    for (const auto& rule : rules_) {
        hosts_[rule.host].emplace(rule.prefix, &rule);
        names_.emplace(rule.name, &rule);
    }
}

const route_config* rule_index::find(const std::string_view host, const std::string_view path) const {
    const auto prefixes = hosts_.find(host);
    if (prefixes == hosts_.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so only the path up to each of its slashes can match.
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

const route_config* rule_index::find(const route_name& name) const {
    const auto found = names_.find(name);
    return found == names_.end() ? nullptr : found->second;
}

} // namespace goldcrestwell
