#ifndef GOLDCRESTWELL_TEST_CORE_NODE_FAKE_UPSTREAM_HPP
#define GOLDCRESTWELL_TEST_CORE_NODE_FAKE_UPSTREAM_HPP

#include "core/node/virtual_time.hpp"
#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/upstream_info.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace goldcrestwell::test {

/** @brief Fault of a version: failures or slow responses, from a start time on, on all routes or on one route. */
struct version_fault {
    double failure_rate{};
    double slow_rate{};
    steady_time starts_at{};
    std::string affected_route;

    [[nodiscard]] bool is_faulty() const { return failure_rate > 0 || slow_rate > 0; }
};

/** @brief Simulated local upstream of a node; it keeps running when the node ends. */
class fake_upstream {
public:
    using result_hook = std::function<void(const attempt_id& id, const upstream_result& result)>;

    fake_upstream(virtual_time& time, const std::uint64_t seed, result_hook on_result)
        : time_{time}, random_{seed}, on_result_{std::move(on_result)} {}

    /** @return True if the request reached the upstream and therefore counts as run. */
    bool start(const attempt_id& id, const call_request& call, const std::chrono::milliseconds timeout,
               const version_fault& fault) {
        running_.insert_or_assign(id, ++last_run_);
        if (!up) {
            end_after(std::chrono::milliseconds{1}, id, {.outcome = upstream_outcome::not_sent, .response = {}});
            return false;
        }
        const auto is_affected = [&](const double probability) {
            return time_.now() >= fault.starts_at &&
                   (fault.affected_route.empty() || call.target == fault.affected_route) &&
                   std::uniform_real_distribution<>{}(random_) < probability;
        };
        std::chrono::milliseconds service{5 + random_() % 25};
        service += is_affected(fault.slow_rate) ? std::chrono::milliseconds{400} : std::chrono::milliseconds{0};
        if (random_() % 500 == 0) {
            service += std::chrono::seconds{2};
        }
        if (service >= timeout) {
            end_after(timeout, id, {.outcome = upstream_outcome::timed_out, .response = {}});
        } else if (random_() % 1'000 == 0) {
            end_after(service, id, {.outcome = upstream_outcome::reset, .response = {}});
        } else {
            const std::uint32_t status = is_affected(fault.failure_rate) ? 500 : 200;
            end_after(service, id,
                      {.outcome = upstream_outcome::answered,
                       .response = {.status = status, .headers = {}, .body = call.body}});
        }
        return true;
    }

    void abort(const attempt_id& id) {
        if (running_.contains(id)) {
            running_.at(id) = ++last_run_;
            end_after(std::chrono::microseconds{100}, id, {.outcome = upstream_outcome::reset, .response = {}});
        }
    }

    /** @brief Ends the process of the upstream; its connections are reset. */
    void kill() {
        up = false;
        for (const auto& [id, run] : std::map{running_}) {
            abort(id);
        }
    }

    /** @brief Discards all requests because the node has ended. */
    void discard_requests() { running_.clear(); }

    [[nodiscard]] bool idle() const noexcept { return running_.empty(); }

    upstream_info info;
    bool up{true};

private:
    void end_after(const std::chrono::microseconds delay, const attempt_id& id, upstream_result result) {
        time_.after(delay, [this, id, run = last_run_, result = std::move(result)] {
            const auto found = running_.find(id);
            if (found != running_.end() && found->second == run) {
                running_.erase(found);
                on_result_(id, result);
            }
        });
    }

    virtual_time& time_;
    std::mt19937_64 random_;
    result_hook on_result_;
    std::map<attempt_id, std::uint64_t> running_;
    std::uint64_t last_run_{};
};

} // namespace goldcrestwell::test

#endif
