#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_FAILURE_DETECTOR_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_FAILURE_DETECTOR_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/membership/membership_timing.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>

namespace goldcrestwell {

/** @brief Settings and effects of `failure_detector`; every hook must be set. */
struct failure_detector_options {
    membership_timing timing;
    std::uint64_t seed{};
    /** @brief The next member of the round of probes. */
    std::function<std::optional<node_id>()> next_target;
    /** @return False if the ping could not be sent, which says nothing about the target. */
    std::function<bool(node_id target, std::uint32_t sequence)> send_ping;
    /** @brief Asks a few other members to probe the target. */
    std::function<void(node_id target, std::uint32_t sequence)> send_requests;
    /** @brief Passes an ack of the target on to the node that asked for the probe. */
    std::function<void(node_id requester, std::uint32_t sequence, node_id target)> forward_ack;
    /** @brief Neither the target nor anybody asked has answered. */
    std::function<void(node_id target)> probe_failed;
};

/** @brief Probes one member in each interval, directly and then through others, as SWIM does. */
class failure_detector {
public:
    explicit failure_detector(failure_detector_options options);

    /** @brief Starts the first interval at a random moment, so that restarted nodes do not probe in step. */
    void start(steady_time now);
    /** @brief Drops the probe in progress without a verdict, because this node was paused. */
    void resume(steady_time now);

    void on_ack(node_id about, std::uint32_t sequence, steady_time now);
    void on_ping_request(node_id requester, node_id target, std::uint32_t sequence, steady_time now);

    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

private:
    struct probe {
        node_id target;
        std::uint32_t sequence{};
        steady_time sent;
        bool requested{};
    };
    struct relay {
        node_id requester;
        std::uint32_t sequence{};
        node_id target;
        steady_time expiry;
    };

    void begin_probe(steady_time now);
    void expire_relays(steady_time now);

    failure_detector_options options_;
    std::mt19937_64 random_;
    std::uint32_t sequence_;
    std::optional<probe> probe_;
    std::optional<steady_time> next_probe_;
    std::map<std::uint32_t, relay> relays_;
};

} // namespace goldcrestwell

#endif
