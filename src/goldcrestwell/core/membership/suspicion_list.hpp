#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_SUSPICION_LIST_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_SUSPICION_LIST_HPP

#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace goldcrestwell {

/** @brief A member that is declared dead unless it refutes the suspicion of this incarnation. */
struct suspicion {
    node_id id;
    incarnation generation;
};

/** @brief Suspicions in order of their deadlines. */
class suspicion_list {
public:
    /** @brief Starts a suspicion; one of the same incarnation keeps its deadline. */
    void start(const suspicion& suspect, steady_time deadline);
    void cancel(node_id id);
    /** @brief Gives every suspicion a new deadline, for example after a pause of this node. */
    void restart_all(steady_time deadline);

    /** @return A suspicion whose deadline has passed, which is removed. */
    [[nodiscard]] std::optional<suspicion> take_due(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_deadline() const;

private:
    struct entry {
        incarnation generation;
        steady_time deadline;
    };

    std::map<node_id, entry> entries_;
    std::set<std::pair<steady_time, node_id>> deadlines_;
};

} // namespace goldcrestwell

#endif
