#ifndef GOLDCRESTWELL_CORE_ROUTING_UPSTREAM_SELECTOR_HPP
#define GOLDCRESTWELL_CORE_ROUTING_UPSTREAM_SELECTOR_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/routing/outlier_detector.hpp"
#include "goldcrestwell/core/routing/upstream_candidate.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace goldcrestwell {

/** @brief Settings of the choice of an upstream. */
struct upstream_selector_options {
    std::uint64_t seed{};
    outlier_options outliers;
    /** @brief Time during which a new upstream's part of the calls grows to its full size. */
    std::chrono::milliseconds slow_start{10'000};
    /** @brief Age after which a load report is ignored. */
    std::chrono::milliseconds report_lifetime{1'000};
};

/** @brief How a call ended, as far as the choice of upstreams is concerned. */
enum class selection_outcome : std::uint8_t { success, failure, neutral };

/** @brief Chooses among the upstreams of one service and version: the less loaded of two at random. */
class upstream_selector {
public:
    using size_type = std::size_t;

    explicit upstream_selector(upstream_selector_options options);

    /**
     * @brief Chooses a node; cost does not depend on the number of candidates beyond a logarithm.
     * @param candidates Live candidates, those of the own data centre first.
     * @param tried Nodes that the call has been tried at.
     * @param limit Calls in flight from here to one node above which another one is preferred; 0 means none.
     * @param far_penalty How much less loaded, in parts of its slots, a node of another data centre must be.
     */
    [[nodiscard]] std::optional<node_id> select(std::span<const upstream_candidate> candidates,
                                                const std::vector<node_id>& tried, steady_time now,
                                                std::uint32_t limit = 0, double far_penalty = 0.0);

    void on_started(node_id node);
    void on_finished(node_id node, selection_outcome outcome, steady_time now);
    /** @param load Calls running and queued, as the node reported; a hint that may be wrong. */
    void on_load(node_id node, std::uint32_t load, steady_time now);

    [[nodiscard]] std::uint32_t in_flight(node_id node) const;
    /** @return True if no call is in flight from here. */
    [[nodiscard]] bool idle() const noexcept { return total_in_flight_ == 0; }

private:
    struct node_state {
        std::uint32_t in_flight{};
        std::uint32_t reported{};
        /** @brief Calls in flight from here when the report came; they are part of it. */
        std::uint32_t counted{};
        steady_time reported_at{};
    };
    struct choice {
        const upstream_candidate* candidate{};
        double score{};
    };
    struct query {
        const std::vector<node_id>& tried;
        steady_time now;
        std::uint32_t limit;
        double far_penalty;
        bool use_reports;
    };

    [[nodiscard]] bool allowed(const upstream_candidate& candidate, const query& wanted) const;
    [[nodiscard]] double score(const upstream_candidate& candidate, const query& wanted) const;
    /** @return False for a part of the draws of a new upstream, so that its calls grow in proportion to its age. */
    [[nodiscard]] bool warm_enough(const upstream_candidate& candidate, steady_time now);
    [[nodiscard]] const upstream_candidate* sample(std::span<const upstream_candidate> group, const query& wanted,
                                                   const upstream_candidate* other);
    [[nodiscard]] choice best_of_two(std::span<const upstream_candidate> group, const query& wanted);
    [[nodiscard]] const upstream_candidate* choose(std::span<const upstream_candidate> candidates, const query& wanted);
    void forget_idle(steady_time now);

    std::unordered_map<std::uint64_t, node_state> nodes_;
    outlier_detector outliers_;
    upstream_selector_options options_;
    std::mt19937_64 random_;
    size_type group_{};
    size_type total_in_flight_{};
};

} // namespace goldcrestwell

#endif
