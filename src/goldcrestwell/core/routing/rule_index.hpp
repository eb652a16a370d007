#ifndef GOLDCRESTWELL_CORE_ROUTING_RULE_INDEX_HPP
#define GOLDCRESTWELL_CORE_ROUTING_RULE_INDEX_HPP

#include "goldcrestwell/core/message/route_config.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestwell {

/** @brief Immutable index of an operator's routes by host and path prefix. */
class rule_index {
public:
    using size_type = std::size_t;

    rule_index() = default;
    explicit rule_index(std::vector<route_config> rules);

    // The index points into its own rules.
    rule_index(const rule_index&) = delete;
    rule_index& operator=(const rule_index&) = delete;
    rule_index(rule_index&&) noexcept = default;
    rule_index& operator=(rule_index&&) noexcept = default;
    ~rule_index() = default;

    /**
     * @brief Finds the rule of a host with the longest prefix that begins the path.
     * @param path Path of a request; a query is ignored.
     * @return Null if no rule matches; valid as long as the index.
     */
    [[nodiscard]] const route_config* find(std::string_view host, std::string_view path) const;

    /** @return The rule with that name, or null. */
    [[nodiscard]] const route_config* find(const route_name& name) const;

    [[nodiscard]] size_type size() const noexcept { return rules_.size(); }

private:
    struct text_hash {
        using is_transparent = void;
        [[nodiscard]] size_type operator()(const std::string_view text) const noexcept {
            return std::hash<std::string_view>{}(text);
        }
    };
    using prefix_map = std::unordered_map<std::string, const route_config*, text_hash, std::equal_to<>>;

    std::vector<route_config> rules_;
    std::unordered_map<std::string, prefix_map, text_hash, std::equal_to<>> hosts_;
    std::map<route_name, const route_config*> names_;
};

} // namespace goldcrestwell

#endif
