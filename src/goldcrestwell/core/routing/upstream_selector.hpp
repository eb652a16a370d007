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

/** @brief Settings of an `upstream_selector`. */
struct upstream_selector_options {
    std::uint64_t seed{};
    outlier_options outliers;
    /** @brief Time in which a new upstream's share of the calls grows to its full size. */
    std::chrono::milliseconds slow_start{10'000};
    /** @brief Age from which a load report is ignored. */
    std::chrono::milliseconds max_report_age{1'000};
};

/** @brief Outcome of an attempt as far as it affects the selection of upstreams. */
enum class selection_outcome : std::uint8_t { success, failure, neutral };

/** @brief Selects an upstream of one service and version: the less loaded of two random candidates. */
class upstream_selector {
public:
    using size_type = std::size_t;

    explicit upstream_selector(upstream_selector_options options);

    /**
     * @brief Returns a node for an attempt; the cost is at most logarithmic in the number of candidates.
     * @param candidates Live candidates, those of the local data centre first.
     * @param tried Nodes that have already had an attempt of the call.
     * @param in_flight_limit Calls in flight from this node at which a target is avoided if possible; 0 for no limit.
     * @param remote_penalty Minimum difference in load per slot for which a remote node is preferred to a local one.
     */
    [[nodiscard]] std::optional<node_id> select(std::span<const upstream_candidate> candidates,
                                                const std::vector<node_id>& tried, steady_time now,
                                                std::uint32_t in_flight_limit = 0, double remote_penalty = 0.0);

    void on_started(node_id node);
    void on_finished(node_id node, selection_outcome outcome, steady_time now);
    /** @param load Number of running and queued calls as reported by the node; may be wrong. */
    void on_load(node_id node, std::uint32_t load, steady_time now);

    [[nodiscard]] std::uint32_t in_flight(node_id node) const;
    /** @brief Checks whether no call is in flight from this node. */
    [[nodiscard]] bool is_idle() const noexcept { return total_in_flight_ == 0; }

private:
    struct node_state {
        std::uint32_t in_flight{};
        std::uint32_t reported_load{};
        /** @brief Calls in flight from this node when the report arrived; the report includes them. */
        std::uint32_t in_flight_at_report{};
        steady_time reported_at{};
    };
    struct choice {
        const upstream_candidate* candidate{};
        double score{};
    };
    struct selection_criteria {
        const std::vector<node_id>& tried;
        steady_time now;
        std::uint32_t in_flight_limit;
        double remote_penalty;
        bool use_reports;
    };

    [[nodiscard]] bool is_eligible(const upstream_candidate& candidate, const selection_criteria& criteria) const;
    [[nodiscard]] double score(const upstream_candidate& candidate, const selection_criteria& criteria) const;
    /** @brief Randomly rejects a new upstream, so that its share of the calls grows in proportion to its age. */
    [[nodiscard]] bool passes_slow_start(const upstream_candidate& candidate, steady_time now);
    [[nodiscard]] const upstream_candidate* sample(std::span<const upstream_candidate> group,
                                                   const selection_criteria& criteria, const upstream_candidate* other);
    [[nodiscard]] choice best_of_two(std::span<const upstream_candidate> group, const selection_criteria& criteria);
    [[nodiscard]] const upstream_candidate* choose(std::span<const upstream_candidate> candidates,
                                                   const selection_criteria& criteria);
    void remove_idle(steady_time now);

    std::unordered_map<std::uint64_t, node_state> nodes_;
    outlier_detector outliers_;
    upstream_selector_options options_;
    std::mt19937_64 random_;
    size_type candidate_count_{};
    size_type total_in_flight_{};
};

} // namespace goldcrestwell

#endif
