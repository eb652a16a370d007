#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_REGION_WATCH_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_REGION_WATCH_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/member.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace goldcrestwell {

/**
 * @brief Tells the loss of a region from the loss of single members.
 *
 * A suspicion lasts one suspicion time-out, so the members suspected now are those of the last window of that length.
 */
class region_watch {
public:
    using size_type = std::size_t;

    /** @param own Region of this node; it counts as cut only when most of its members are suspect. */
    explicit region_watch(region own);

    /** @param before The replaced record, or null. @param after The new record, or null. */
    void update(const member* before, const member* after);

    /** @brief Marks or clears a cut; to be called after an update. @return True if the mark of the region changed. */
    bool evaluate(const region& name, steady_time now);

    [[nodiscard]] bool reachable(const region& name) const;
    /** @return Start of the cut of a region that is unreachable. */
    [[nodiscard]] std::optional<steady_time> cut_since(const region& name) const;

private:
    struct state {
        size_type members{};
        size_type suspects{};
        std::optional<steady_time> cut_since;
    };

    [[nodiscard]] bool looks_cut(const region& name, const state& counts) const;

    region own_;
    std::map<region, state> regions_;
};

} // namespace goldcrestwell

#endif
