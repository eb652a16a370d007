#ifndef GOLDCRESTWELL_CORE_ROUTING_ROUTE_TABLE_HPP
#define GOLDCRESTWELL_CORE_ROUTING_ROUTE_TABLE_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/routing/route_entry.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestwell {

/** @brief Immutable index of routes by path prefix. */
class route_table {
public:
    using size_type = std::size_t;

    route_table() = default;
    explicit route_table(const std::vector<route_entry>& routes);

    /**
     * @brief Returns the longest route whose path segments are a prefix of the path.
     * @param path Path of a request; a query or fragment is ignored.
     */
    [[nodiscard]] std::optional<route_name> match(std::string_view path) const;

    /** @brief Returns the entry of the route that `match` returns, or null; valid for the lifetime of the table. */
    [[nodiscard]] const route_entry* find(std::string_view path) const;

    [[nodiscard]] size_type size() const noexcept { return routes_.size(); }

private:
    struct text_hash {
        using is_transparent = void;
        [[nodiscard]] size_type operator()(const std::string_view text) const noexcept {
            return std::hash<std::string_view>{}(text);
        }
    };

    std::unordered_map<std::string, route_entry, text_hash, std::equal_to<>> routes_;
    size_type max_prefix_length_{};
};

} // namespace goldcrestwell

#endif
