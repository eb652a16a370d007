#ifndef GOLDCRESTWELL_CORE_NODE_DEPARTURE_HISTORY_HPP
#define GOLDCRESTWELL_CORE_NODE_DEPARTURE_HISTORY_HPP

#include "goldcrestwell/core/message/upstream_announcement.hpp"
#include "goldcrestwell/core/message/upstream_departure.hpp"

#include <cstddef>
#include <vector>

namespace goldcrestwell {

/** @brief The last upstreams of a host that have left; a later one does not displace those before it. */
class departure_history {
public:
    /** @brief Number of upstreams that are remembered; the one that left first is dropped. */
    static constexpr std::size_t max_entries = 16;

    /** @brief Adds a departure as the latest one; of one upstream only the latest start is kept. */
    void add(const upstream_departure& departure);
    /** @brief Adds the departures that an earlier process recorded, before those that are known already. */
    void add_earlier(const std::vector<upstream_departure>& departures);
    /** @return True if the start that the announcement names has left. */
    [[nodiscard]] bool has_left(const upstream_announcement& announcement) const;
    /** @return Departures, the latest one last. */
    [[nodiscard]] const std::vector<upstream_departure>& entries() const noexcept { return entries_; }

private:
    std::vector<upstream_departure> entries_;
};

} // namespace goldcrestwell

#endif
