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

/** @brief Suspicion of one incarnation of a member, which is declared dead unless it refutes the suspicion in time. */
struct suspicion {
    node_id id;
    incarnation member_incarnation;
};

/** @brief Pending suspicions, ordered by deadline. */
class suspicion_list {
public:
    /** @brief Adds a suspicion; one of the same incarnation keeps its deadline, one of another is replaced. */
    void start(const suspicion& suspect, steady_time deadline);
    void cancel(node_id id);
    /** @brief Sets a new deadline for all suspicions, for example after a pause of this node. */
    void restart_all(steady_time deadline);

    /** @brief Removes and returns the first suspicion whose deadline has passed, or nothing. */
    [[nodiscard]] std::optional<suspicion> take_expired(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_deadline() const;

private:
    struct entry {
        incarnation member_incarnation;
        steady_time deadline;
    };

    std::map<node_id, entry> entries_;
    std::set<std::pair<steady_time, node_id>> deadlines_;
};

} // namespace goldcrestwell

#endif
