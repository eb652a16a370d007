#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_DISSEMINATION_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_DISSEMINATION_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/membership/control_priority.hpp"
#include "goldcrestwell/core/message/row_key.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace goldcrestwell {

/** @brief Key of an update: a member or the rollout of a row. Its value is looked up when the update is sent. */
using update_key = std::variant<node_id, row_key>;

/**
 * @brief Queue of the updates to gossip.
 *
 * Updates are ordered by priority, then by number of transmissions, then newest first.
 */
class dissemination {
public:
    using size_type = std::size_t;

    /**
     * @brief Adds an update, which replaces a queued one with the same key.
     * @param priority Updates of priority `leaving` or higher are urgent.
     * @param bytes Encoded size of the update.
     * @param extra_transmissions Number of transmissions beyond the limit that is passed to `take`.
     */
    void add(const update_key& key, control_priority priority, size_type bytes, size_type extra_transmissions = 0);
    void erase(const update_key& key);

    /**
     * @brief Selects updates for one datagram and counts a transmission of each.
     * @param free_bytes Maximum size of the updates together, in bytes.
     * @param urgent_only Selects urgent updates only.
     * @param max_transmissions Number of transmissions after which an update is removed from the queue.
     */
    [[nodiscard]] std::vector<update_key> take(size_type free_bytes, bool urgent_only, size_type max_transmissions);

    /**
     * @brief Counts an update that was received from another node as transmitted once, unless it is urgent.
     *
     * An update received again is already widespread, so it needs fewer transmissions.
     */
    void count_received(const update_key& key, size_type max_transmissions);

    /** @brief Returns the priority of the first update, or nothing if the queue is empty. */
    [[nodiscard]] std::optional<control_priority> next_priority() const;
    [[nodiscard]] bool has_urgent() const;
    [[nodiscard]] size_type size() const noexcept { return entries_.size(); }

private:
    struct entry {
        control_priority priority{control_priority::join};
        size_type bytes{};
        size_type extra_transmissions{};
        size_type transmissions{};
        std::uint64_t sequence{};
    };
    struct sort_key {
        control_priority priority{control_priority::join};
        size_type transmissions{};
        std::uint64_t reverse_sequence{};
        update_key key;

        [[nodiscard]] friend auto operator<=>(const sort_key&, const sort_key&) = default;
    };

    [[nodiscard]] static sort_key sort_key_of(const update_key& key, const entry& item);
    void count_transmission(const update_key& key, size_type max_transmissions);

    std::map<update_key, entry> entries_;
    std::set<sort_key> order_;
    std::uint64_t sequence_{};
};

} // namespace goldcrestwell

#endif
