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
 *
 * After the store has returned from an older copy, a request may be known by several offsets of different histories:
 * an unchanged number if the copy holds it, a later one if the operator has written it again.
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
    /** @brief Reports an offset by which this or another node knows a request. */
    void add_offset(const service_name& service, const upstream_version& version, log_offset offset);
    /** @brief Checks whether two offsets of a version belong to one request, in two histories of the store. */
    [[nodiscard]] bool is_same_request(const service_name& service, const upstream_version& version, log_offset earlier,
                                       log_offset later) const;
    /** @brief Checks whether an offset belongs to a request of an earlier history that a later one has replaced. */
    [[nodiscard]] bool is_superseded(const service_name& service, const upstream_version& version,
                                     log_offset offset) const;
    /** @brief Adds a rollout that was completed or rolled back; other states are ignored. */
    void on_finished(const rollout_update& update);

    [[nodiscard]] std::optional<upstream_version> current_version(const service_name& service) const;
    [[nodiscard]] bool is_rolled_back(const service_name& service, const upstream_version& version) const;
    /** @return Finished rollouts, the newest of each service first, for nodes that did not take part in them. */
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
        /** @brief Versions of the last requests by each of their offsets. */
        std::map<log_offset, upstream_version> versions_by_offset;
    };

    /** @brief Checks whether a record is an unchanged one of an earlier history. */
    [[nodiscard]] static bool is_copy(const service_state& versions, const upstream_version& version,
                                      log_offset offset);
    [[nodiscard]] static bool is_same_request(const service_state& versions, const upstream_version& version,
                                              log_offset earlier, log_offset later);
    /** @return Offset by which the request was known first. */
    [[nodiscard]] static log_offset first_offset(const service_state& versions, const upstream_version& version,
                                                 log_offset offset);
    /** @brief Adds a finished rollout, in place of the same one under another offset. */
    static void add_finished(service_state& versions, rollout_update update);

    count_hook count_upstreams_;
    std::map<service_name, service_state> services_;
};

} // namespace goldcrestwell

#endif
