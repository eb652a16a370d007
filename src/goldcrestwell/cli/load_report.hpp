#ifndef GOLDCRESTWELL_CLI_LOAD_REPORT_HPP
#define GOLDCRESTWELL_CLI_LOAD_REPORT_HPP

#include "goldcrestwell/core/message/upstream_result.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Whether a response belongs to the request for which it was received. */
enum class response_owner : std::uint8_t {
    own,     /**< Contains the id of its request. */
    foreign, /**< Contains the id of another request. */
    absent   /**< Contains no id, so the response cannot be checked. */
};

/** @brief Generates the request ids of one run; no id is a prefix of another. */
class request_ids {
public:
    explicit request_ids(std::uint64_t seed);

    [[nodiscard]] std::string id(std::uint64_t number) const;
    /** @return Owner of the id in the `x-request-id` header, or in the body if there is no such header. */
    [[nodiscard]] response_owner owner(const http_response& response, std::string_view expected) const;

private:
    std::string prefix_;
};

/** @brief Counts the results of a run and prints them as one table. */
class load_report {
public:
    using count_type = std::uint64_t;

    /** @brief Counts a call of the measured time; the latency is kept for successful responses only. */
    void add(const upstream_result& result, std::chrono::microseconds latency);
    /** @brief Counts the owner of a response, including responses during the warm-up. */
    void add(response_owner owner);

    [[nodiscard]] count_type foreign_responses() const noexcept { return foreign_responses_; }
    [[nodiscard]] count_type answered() const noexcept { return latencies_.size(); }
    [[nodiscard]] count_type calls() const noexcept { return calls_; }
    /** @return Smallest latency that this fraction of the responses does not exceed, or nothing without responses. */
    [[nodiscard]] std::optional<std::chrono::microseconds> quantile(double fraction) const;
    /** @param duration Measured time, used to compute the responses per second. */
    [[nodiscard]] std::string table(std::chrono::milliseconds duration) const;

private:
    void add_error(std::string name) { ++errors_[std::move(name)]; }

    count_type calls_{};
    count_type unknown_outcomes_{};
    count_type foreign_responses_{};
    count_type unchecked_responses_{};
    std::map<std::string, count_type> refused_not_run_;
    std::map<std::string, count_type> errors_;
    std::vector<std::chrono::microseconds> latencies_;
};

} // namespace goldcrestwell

#endif
