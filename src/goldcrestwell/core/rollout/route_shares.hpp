#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROUTE_SHARES_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROUTE_SHARES_HPP

#include "goldcrestwell/core/common/share.hpp"
#include "goldcrestwell/core/message/version_share.hpp"
#include "goldcrestwell/core/rollout/route_plan.hpp"

#include <functional>
#include <vector>

namespace goldcrestwell {

/** @brief Checks whether the share of a version grows in the plan. */
[[nodiscard]] bool is_candidate(const route_plan& plan, const upstream_version& version) noexcept;

/** @return Largest share that a candidate may have at a given progress from base to target. */
[[nodiscard]] share candidate_limit(const route_plan& plan, const upstream_version& version, share progress) noexcept;

/** @brief Inputs of `route_shares` in addition to the plan. */
struct share_inputs {
    /** @brief Progress from base to target that the candidate's state permits, in parts per million. */
    std::function<share(const upstream_version&)> progress;
    std::function<bool(const upstream_version&)> has_upstream;
};

/**
 * @brief Returns the shares in force: candidates get theirs by progress, the rest stays with the baseline versions.
 *
 * A version without an upstream gets no share while a live baseline version can take its traffic.
 * @return Shares that sum to `full_share`; empty for a route without shares.
 */
[[nodiscard]] std::vector<version_share> route_shares(const route_plan& plan, const share_inputs& inputs);

} // namespace goldcrestwell

#endif
