#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_SEED_JOINER_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_SEED_JOINER_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/membership/membership_timing.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell {

/** @brief Settings and effects of `seed_joiner`; every hook must be set. */
struct seed_joiner_options {
    membership_timing timing;
    std::vector<node_id> seeds;
    std::uint64_t seed{};
    /** @brief No live member is known. */
    std::function<bool()> alone;
    /** @brief Members believed dead and seeds that are not members. */
    std::function<std::vector<node_id>()> lost;
    std::function<void(node_id)> ping;
};

/**
 * @brief Contacts seeds while the node is alone, and lost members from time to time afterwards.
 *
 * Waits are random and double while nobody answers, so that many nodes that restart together do not overload a seed.
 */
class seed_joiner {
public:
    explicit seed_joiner(seed_joiner_options options);

    void start(steady_time now);
    /** @brief Replaces the seeds and contacts them at once, as many as `join_sweep` allows. */
    void set_seeds(std::vector<node_id> seeds, steady_time now);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept { return next_; }

private:
    [[nodiscard]] std::chrono::microseconds random_part(std::chrono::milliseconds longest);
    void ping_seed(steady_time now);
    void ping_lost(steady_time now);
    void sweep(steady_time now);
    /** @brief Contacts lost members, each call the next ones. */
    void ping_some(std::size_t count);

    seed_joiner_options options_;
    std::mt19937_64 random_;
    std::size_t cursor_{};
    /** @brief Rounds left in which all new seeds are contacted. */
    int sweeps_left_{};
    std::chrono::milliseconds backoff_;
    std::optional<steady_time> next_;
};

} // namespace goldcrestwell

#endif
