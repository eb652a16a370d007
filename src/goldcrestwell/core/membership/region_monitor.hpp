#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_REGION_MONITOR_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_REGION_MONITOR_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/member.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace goldcrestwell {

/**
 * @brief Detects network partitions between regions from the number of suspects in each region.
 *
 * Suspicions expire, so the number includes only those started within the last suspicion time-out.
 */
class region_monitor {
public:
    using size_type = std::size_t;

    /** @param own_region Region of this node, for which a higher threshold applies. */
    explicit region_monitor(region own_region);

    /** @param before The replaced record, or null. @param after The new record, or null. */
    void update(const member* before, const member* after);

    /**
     * @brief Updates the reachability of a region; to be called after `update`.
     * @return True if the reachability changed.
     */
    bool evaluate(const region& name, steady_time now);

    [[nodiscard]] bool reachable(const region& name) const;
    /** @brief Returns the time since which the region is unreachable, or nothing if it is reachable. */
    [[nodiscard]] std::optional<steady_time> unreachable_since(const region& name) const;

private:
    struct state {
        size_type members{};
        size_type suspects{};
        std::optional<steady_time> unreachable_since;
    };

    [[nodiscard]] bool is_partitioned(const region& name, const state& counts) const;

    region own_region_;
    std::map<region, state> regions_;
};

} // namespace goldcrestwell

#endif
