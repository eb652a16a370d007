#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROUTE_SHARES_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROUTE_SHARES_HPP

#include "goldcrestwell/core/common/share.hpp"
#include "goldcrestwell/core/message/version_share.hpp"
#include "goldcrestwell/core/rollout/route_plan.hpp"

#include <functional>
#include <vector>

namespace goldcrestwell {

/** @return True if the version's share grows in the plan's move. */
[[nodiscard]] bool is_candidate(const route_plan& plan, const upstream_version& version) noexcept;

/** @return The largest share that a candidate may have with this much progress. */
[[nodiscard]] share candidate_limit(const route_plan& plan, const upstream_version& version, share progress) noexcept;

/** @brief What the shares of a route depend on beside the plan. */
struct share_inputs {
    /** @brief Way from base to target that the candidate's state permits, in parts per million. */
    std::function<share(const upstream_version&)> progress;
    std::function<bool(const upstream_version&)> has_upstream;
};

/**
 * @brief Shares in force: candidates by their progress, the rest stays with the old versions.
 *
 * Versions without an upstream get nothing as long as an old version can take their traffic.
 * @return Shares that sum to `full_share`, or nothing for a route without shares.
 */
[[nodiscard]] std::vector<version_share> route_shares(const route_plan& plan, const share_inputs& inputs);

} // namespace goldcrestwell

#endif
