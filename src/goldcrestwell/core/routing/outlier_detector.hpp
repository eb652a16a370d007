#ifndef GOLDCRESTWELL_CORE_ROUTING_OUTLIER_DETECTOR_HPP
#define GOLDCRESTWELL_CORE_ROUTING_OUTLIER_DETECTOR_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace goldcrestwell {

/** @brief Settings of an `outlier_detector`. */
struct outlier_options {
    /** @brief Number of consecutive failures after which a node is ejected. */
    std::uint32_t consecutive_failures{5};
    /** @brief Duration of the first ejection; each further one lasts twice as long. */
    std::chrono::milliseconds base_ejection_time{2'000};
    std::chrono::milliseconds max_ejection_time{60'000};
};

/** @brief Ejects nodes that fail several calls in a row, but never more than half of a group at once. */
class outlier_detector {
public:
    using size_type = std::size_t;

    explicit outlier_detector(outlier_options options = {}) : options_{options} {}

    void on_success(node_id node);
    /** @param group_size Number of candidates in the node's group; bounds the number of ejected nodes. */
    void on_failure(node_id node, size_type group_size, steady_time now);

    /** @brief Checks whether a node may get a call; after an ejection, only one at a time until a call succeeds. */
    [[nodiscard]] bool admits(node_id node, size_type in_flight, steady_time now) const;

    /** @brief Returns the number of ejected nodes. */
    [[nodiscard]] size_type ejected_count(steady_time now) const;

private:
    struct record {
        std::uint32_t failures{};
        std::uint32_t ejections{};
        steady_time ejected_until{};
    };

    void remove_stale(steady_time now);

    /** @brief Records of the nodes whose last call failed. */
    std::unordered_map<std::uint64_t, record> records_;
    outlier_options options_;
};

} // namespace goldcrestwell

#endif
