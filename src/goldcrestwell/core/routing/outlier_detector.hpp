#ifndef GOLDCRESTWELL_CORE_ROUTING_OUTLIER_DETECTOR_HPP
#define GOLDCRESTWELL_CORE_ROUTING_OUTLIER_DETECTOR_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace goldcrestwell {

/** @brief When a node is ejected and for how long. */
struct outlier_options {
    /** @brief Failures in a row that eject a node. */
    std::uint32_t failures_in_a_row{5};
    /** @brief Length of the first ejection; doubles at each further one. */
    std::chrono::milliseconds first_ejection{2'000};
    std::chrono::milliseconds longest_ejection{60'000};
};

/** @brief Ejects nodes that fail several calls in a row; at most half of a group at the same time. */
class outlier_detector {
public:
    using size_type = std::size_t;

    explicit outlier_detector(outlier_options options = {}) : options_{options} {}

    void on_success(node_id node);
    /** @param group Number of candidates that the node belongs to; bounds how many may be ejected. */
    void on_failure(node_id node, size_type group, steady_time now);

    /** @return True if the node may get a call; a returning node gets one call at a time until one succeeds. */
    [[nodiscard]] bool admits(node_id node, size_type in_flight, steady_time now) const;

    /** @return Nodes ejected at this time. */
    [[nodiscard]] size_type ejected(steady_time now) const;

private:
    struct record {
        std::uint32_t failures{};
        std::uint32_t ejections{};
        steady_time until{};
    };

    void forget_gone(steady_time now);

    /** @brief Only nodes whose last call failed. */
    std::unordered_map<std::uint64_t, record> records_;
    outlier_options options_;
};

} // namespace goldcrestwell

#endif
