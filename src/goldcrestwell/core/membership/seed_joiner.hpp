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

/** @brief Settings and hooks of `seed_joiner`; every hook must be set. */
struct seed_joiner_options {
    membership_timing timing;
    std::vector<node_id> seeds;
    std::uint64_t seed{};
    /** @brief Checks whether no other live member is known. */
    std::function<bool()> is_isolated;
    /** @brief Returns the members recorded as dead and the seeds that are not members. */
    std::function<std::vector<node_id>()> reconnect_targets;
    std::function<void(node_id)> ping;
};

/**
 * @brief Contacts seeds until another live member is known, and afterwards periodically the reconnect targets.
 *
 * Delays are random and double while no member is known, so that many nodes that restart together do not overload a
 * seed.
 */
class seed_joiner {
public:
    explicit seed_joiner(seed_joiner_options options);

    void start(steady_time now);
    /** @brief Replaces the seeds and contacts nodes at once; see `membership_timing` for their number. */
    void set_seeds(std::vector<node_id> seeds, steady_time now);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept { return next_round_; }

private:
    [[nodiscard]] std::chrono::microseconds random_delay(std::chrono::milliseconds max_delay);
    void ping_seed(steady_time now);
    void reconnect(steady_time now);
    void ping_new_seeds(steady_time now);
    /** @brief Pings the next `count` reconnect targets in turn. */
    void ping_next(std::size_t count);

    seed_joiner_options options_;
    std::mt19937_64 random_;
    std::size_t cursor_{};
    /** @brief Remaining rounds that contact many nodes at once after the seeds were replaced. */
    int new_seed_rounds_left_{};
    std::chrono::milliseconds backoff_;
    std::optional<steady_time> next_round_;
};

} // namespace goldcrestwell

#endif
