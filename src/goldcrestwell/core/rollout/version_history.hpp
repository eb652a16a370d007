#ifndef GOLDCRESTWELL_CORE_ROLLOUT_VERSION_HISTORY_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_VERSION_HISTORY_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace goldcrestwell {

/**
 * @brief Current and rolled back versions of each service, as results of finished rollouts.
 *
 * The store keeps only the newest request of a service, so a node that starts later receives earlier results from other
 * nodes. Until then the version with the most upstreams counts as the current one.
 */
class version_history {
public:
    using size_type = std::size_t;
    /** @return Number of live upstreams of a version. */
    using count_hook = std::function<size_type(const service_name&, const upstream_version&)>;

    explicit version_history(count_hook count_upstreams) : count_upstreams_{std::move(count_upstreams)} {}

    /** @brief Reports a live upstream of a version that is not the target of a rollout. */
    void on_live_upstream(const service_name& service, const upstream_version& version, steady_time now);
    /** @brief Reports a new request for a version, which cancels an earlier rollback. */
    void on_requested(const service_name& service, const upstream_version& version, log_offset offset);
    /** @brief Adds a rollout that was completed or rolled back; other states are ignored. */
    void on_finished(const rollout_update& update);

    [[nodiscard]] std::optional<upstream_version> current_version(const service_name& service) const;
    [[nodiscard]] bool is_rolled_back(const service_name& service, const upstream_version& version) const;
    /** @return Finished rollouts, for nodes that did not take part in them. */
    [[nodiscard]] std::vector<rollout_update> finished_rollouts() const;

private:
    struct service_state {
        std::optional<upstream_version> current_version;
        /** @brief Offset of the rollout that made the version current; zero if chosen by the number of upstreams. */
        log_offset current_offset;
        std::optional<steady_time> first_seen;
        std::map<upstream_version, log_offset> request_offsets;
        std::map<upstream_version, log_offset> rollback_offsets;
        std::map<log_offset, rollout_update> finished_rollouts;
    };

    count_hook count_upstreams_;
    std::map<service_name, service_state> services_;
};

} // namespace goldcrestwell

#endif
