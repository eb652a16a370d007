#ifndef GOLDCRESTWELL_CORE_CONFIG_TABLE_SNAPSHOT_HPP
#define GOLDCRESTWELL_CORE_CONFIG_TABLE_SNAPSHOT_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/config/route_state.hpp"
#include "goldcrestwell/core/config/route_tree.hpp"
#include "goldcrestwell/core/message/rollout_key.hpp"
#include "goldcrestwell/core/message/row_key.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace goldcrestwell {

/** @brief Immutable table at one version; shares unchanged routes with older snapshots. */
class table_snapshot {
public:
    using size_type = std::size_t;

    table_snapshot() = default;
    table_snapshot(log_offset version, internal::route_tree routes, size_type row_count);

    /** @return Offset of the last record that changed the table. */
    [[nodiscard]] log_offset version() const noexcept { return version_; }
    [[nodiscard]] size_type row_count() const noexcept { return row_count_; }
    [[nodiscard]] size_type route_count() const noexcept { return routes_.size(); }

    /** @return State of a route, or null; valid as long as the snapshot exists. */
    [[nodiscard]] const route_state* find(const route_name& route) const noexcept;
    /** @return Row with a key, or null; valid as long as the snapshot exists. */
    [[nodiscard]] const table_row* find_row(const row_key& key) const noexcept;
    /** @return Service of a route, or an empty optional if the route does not exist. */
    [[nodiscard]] std::optional<service_name> service(const route_name& route) const;
    /** @return Shares by weight; empty if the route does not exist. */
    [[nodiscard]] std::vector<version_share> target_shares(const route_name& route) const;
    /** @return Shares before the rollout in progress; empty if the route does not exist. */
    [[nodiscard]] std::vector<version_share> base_shares(const route_name& route) const;
    /** @return Recorded state of the rollout of a current row, or an empty optional. */
    [[nodiscard]] std::optional<rollout_state> recorded_state(const rollout_key& key) const;

    /** @brief Visits all routes, sorted by name. */
    void for_each_route(const std::function<void(const route_state&)>& visit) const;
    /** @return All rows, sorted by key. */
    [[nodiscard]] std::vector<table_row> rows() const;
    /** @return All rollout records, sorted by key. */
    [[nodiscard]] std::vector<rollout_record> rollout_records() const;

    /** @return Tree of the routes, from which the reducer derives the next snapshot. */
    [[nodiscard]] const internal::route_tree& routes() const noexcept { return routes_; }

private:
    log_offset version_;
    internal::route_tree routes_;
    size_type row_count_{};
};

} // namespace goldcrestwell

#endif
