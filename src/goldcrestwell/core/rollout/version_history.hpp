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
 * @brief Versions of a service that finished moves left in use or took back.
 *
 * The store keeps only the newest order of a service, so a node that starts later learns about earlier ones from the
 * others. Until it does, the version with the most upstreams counts as the one in use.
 */
class version_history {
public:
    using size_type = std::size_t;
    /** @return Live upstreams of a version. */
    using count_hook = std::function<size_type(const service_name&, const upstream_version&)>;

    explicit version_history(count_hook upstreams) : upstreams_{std::move(upstreams)} {}

    /** @brief An upstream of a version that is not being moved to is alive. */
    void on_seen(const service_name& service, const upstream_version& version, steady_time now);
    /** @brief A new order names this version, so an earlier withdrawal no longer counts. */
    void on_ordered(const service_name& service, const upstream_version& version, log_offset at);
    /** @brief A move was completed or taken back; others are ignored. */
    void on_finished(const rollout_update& update);

    [[nodiscard]] std::optional<upstream_version> in_use(const service_name& service) const;
    [[nodiscard]] bool withdrawn(const service_name& service, const upstream_version& version) const;
    /** @return Finished moves, for nodes that did not see them. */
    [[nodiscard]] std::vector<rollout_update> finished() const;

private:
    struct service_versions {
        std::optional<upstream_version> in_use;
        /** @brief The move that brought the version in use; none if it was chosen by its upstreams. */
        log_offset decided_at;
        std::optional<steady_time> first_seen;
        std::map<upstream_version, log_offset> ordered;
        std::map<upstream_version, log_offset> withdrawn;
        std::map<log_offset, rollout_update> finished;
    };

    count_hook upstreams_;
    std::map<service_name, service_versions> services_;
};

} // namespace goldcrestwell

#endif
