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

/** @brief Settings and hooks of `failure_detector`; every hook must be set. */
struct failure_detector_options {
    membership_timing timing;
    std::uint64_t seed{};
    /** @brief Returns the member to probe in the next interval, or nothing if there is none. */
    std::function<std::optional<node_id>()> next_target;
    /** @return False if the ping was not sent; such a probe does not count as failed. */
    std::function<bool(node_id target, std::uint32_t sequence)> send_ping;
    /** @brief Requests indirect probes of the target from other members. */
    std::function<void(node_id target, std::uint32_t sequence)> send_ping_requests;
    /** @brief Forwards an ack of the target to the node that requested the indirect probe. */
    std::function<void(node_id requester, std::uint32_t sequence, node_id target)> forward_ack;
    /** @brief Called when neither the direct nor an indirect probe was acknowledged. */
    std::function<void(node_id target)> probe_failed;
};

/** @brief Failure detector of SWIM: probes one member per interval, first directly, then through other members. */
class failure_detector {
public:
    explicit failure_detector(failure_detector_options options);

    /** @brief Schedules the first probe after a random delay, so that nodes started together do not probe in step. */
    void start(steady_time now);
    /** @brief Discards the probe in progress after a pause of this node, because its time-out is not conclusive. */
    void resume(steady_time now);

    void on_ack(node_id target, std::uint32_t sequence, steady_time now);
    void on_ping_request(node_id requester, node_id target, std::uint32_t sequence, steady_time now);

    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

private:
    struct probe {
        node_id target;
        std::uint32_t sequence{};
        steady_time sent;
        bool indirect_requested{};
    };
    struct relay {
        node_id requester;
        std::uint32_t sequence{};
        node_id target;
        steady_time expiry;
    };

    void start_probe(steady_time now);
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
