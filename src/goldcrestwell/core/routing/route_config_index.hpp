#ifndef GOLDCRESTWELL_CORE_ROUTING_ROUTE_CONFIG_INDEX_HPP
#define GOLDCRESTWELL_CORE_ROUTING_ROUTE_CONFIG_INDEX_HPP

#include "goldcrestwell/core/message/route_config.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestwell {

/** @brief Immutable index of the operators' route configs by host and path prefix. */
class route_config_index {
public:
    using size_type = std::size_t;

    route_config_index() = default;
    explicit route_config_index(std::vector<route_config> routes);

    // The index holds pointers to its own route configs.
    route_config_index(const route_config_index&) = delete;
    route_config_index& operator=(const route_config_index&) = delete;
    route_config_index(route_config_index&&) noexcept = default;
    route_config_index& operator=(route_config_index&&) noexcept = default;
    ~route_config_index() = default;

    /**
     * @brief Returns the route config of a host with the longest prefix of the path.
     * @param path Path of a request; a query is ignored.
     * @return Null if no route config matches; valid for the lifetime of the index.
     */
    [[nodiscard]] const route_config* find(std::string_view host, std::string_view path) const;

    /** @brief Returns the route config with that name, or null. */
    [[nodiscard]] const route_config* find(const route_name& name) const;

    [[nodiscard]] size_type size() const noexcept { return routes_.size(); }

private:
    struct text_hash {
        using is_transparent = void;
        [[nodiscard]] size_type operator()(const std::string_view text) const noexcept {
            return std::hash<std::string_view>{}(text);
        }
    };
    using prefix_map = std::unordered_map<std::string, const route_config*, text_hash, std::equal_to<>>;

    std::vector<route_config> routes_;
    std::unordered_map<std::string, prefix_map, text_hash, std::equal_to<>> by_host_;
    std::map<route_name, const route_config*> by_name_;
};

} // namespace goldcrestwell

#endif
