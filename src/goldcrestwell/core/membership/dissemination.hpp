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

/** @brief What a fact is about; the newest value is looked up when the fact is sent. */
using fact_key = std::variant<node_id, row_key>;

/**
 * @brief Facts that are still to be sent to other nodes.
 *
 * Urgent facts (take-back, leaving) come first, then those sent least often, then the freshest.
 */
class dissemination {
public:
    using size_type = std::size_t;

    /**
     * @brief Queues a fact as fresh; an older one about the same key is forgotten.
     * @param priority Facts of priority `leaving` or higher are urgent.
     * @param bytes Encoded size of the fact.
     * @param extra Times that the fact is sent beyond the limit of `take`.
     */
    void add(const fact_key& key, control_priority priority, size_type bytes, size_type extra = 0);
    void erase(const fact_key& key);

    /**
     * @brief Chooses facts for one datagram and counts them as sent.
     * @param room Bytes that the facts may take together.
     * @param urgent_only Leaves out facts that are not urgent.
     * @param limit Times that a fact is sent before it leaves the queue.
     */
    [[nodiscard]] std::vector<fact_key> take(size_type room, bool urgent_only, size_type limit);

    /**
     * @brief Counts a fact that is not urgent as sent once, because another node has sent it here.
     *
     * A fact that comes back is known widely, so that it needs fewer transmissions.
     */
    void count_heard(const fact_key& key, size_type limit);

    /** @return Priority of the fact that is sent next. */
    [[nodiscard]] std::optional<control_priority> first_priority() const;
    [[nodiscard]] bool has_urgent() const;
    [[nodiscard]] size_type size() const noexcept { return entries_.size(); }

private:
    struct entry {
        control_priority priority{control_priority::join};
        size_type bytes{};
        size_type extra{};
        size_type sent{};
        std::uint64_t sequence{};
    };
    struct rank {
        control_priority priority{control_priority::join};
        size_type sent{};
        std::uint64_t age{};
        fact_key key;

        [[nodiscard]] friend auto operator<=>(const rank&, const rank&) = default;
    };

    [[nodiscard]] static rank rank_of(const fact_key& key, const entry& item);
    void count_sent(const fact_key& key, size_type limit);

    std::map<fact_key, entry> entries_;
    std::set<rank> order_;
    std::uint64_t sequence_{};
};

} // namespace goldcrestwell

#endif
