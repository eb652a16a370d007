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

/** @brief Whether an answer belongs to the request that it was given to. */
enum class answer_owner : std::uint8_t {
    own,     /**< Carries the id of its request. */
    foreign, /**< Carries the id of another request. */
    absent   /**< Carries no id; answers of this kind cannot be checked. */
};

/** @brief Ids of all requests of one run; none is a prefix of another. */
class request_ids {
public:
    explicit request_ids(std::uint64_t seed);

    [[nodiscard]] std::string id(std::uint64_t number) const;
    /** @return Whose id the answer carries, in its `x-request-id` header or else in its body. */
    [[nodiscard]] answer_owner owner(const http_response& answer, std::string_view expected) const;

private:
    std::string prefix_;
};

/** @brief Counts the results of a run and prints them as one table. */
class load_report {
public:
    using count_type = std::uint64_t;

    /** @brief Counts a call of the measured time; only answers have a latency. */
    void add(const upstream_result& result, std::chrono::microseconds latency);
    /** @brief Counts the owner of an answer, also of one during the warm-up. */
    void add(answer_owner owner);

    [[nodiscard]] count_type foreign_answers() const noexcept { return foreign_; }
    [[nodiscard]] count_type answered() const noexcept { return latencies_.size(); }
    [[nodiscard]] count_type calls() const noexcept { return calls_; }
    /** @return The smallest latency that is not exceeded by this part of the answers, or nothing without answers. */
    [[nodiscard]] std::optional<std::chrono::microseconds> quantile(double part) const;
    /** @param duration Measured time, for the answers per second. */
    [[nodiscard]] std::string table(std::chrono::milliseconds duration) const;

private:
    void add_error(std::string name) { ++errors_[std::move(name)]; }

    count_type calls_{};
    count_type unknown_{};
    count_type foreign_{};
    count_type unchecked_{};
    std::map<std::string, count_type> refused_not_run_;
    std::map<std::string, count_type> errors_;
    std::vector<std::chrono::microseconds> latencies_;
};

} // namespace goldcrestwell

#endif
