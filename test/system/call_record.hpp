#ifndef GOLDCRESTWELL_TEST_SYSTEM_CALL_RECORD_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_CALL_RECORD_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>

namespace goldcrestwell::test {

/** @brief How a call ended for its caller. */
enum class call_ending : std::uint8_t {
    /** @brief Complete response to the caller's own request. */
    answered,
    /** @brief Response that is truncated or belongs to another request. */
    wrong_answer,
    /** @brief Error response of the upstream. */
    upstream_error,
    not_run,
    unknown,
    /** @brief The node could not be reached. */
    unreachable,
    /** @brief The connection failed before the end of the response. */
    cut
};

/** @brief One call with its result. */
struct call_record {
    std::string id;
    std::string target;
    std::uint16_t port{};
    steady_time started;
    std::chrono::milliseconds duration{};
    upstream_result result;

    [[nodiscard]] call_ending ending() const;
    /** @brief Returns the reason given in a refusal, empty if there is none. */
    [[nodiscard]] std::string reason() const;
    /** @brief Returns the version of the upstream that responded. */
    [[nodiscard]] std::string version() const;
};

std::ostream& operator<<(std::ostream& out, call_ending ending);
std::ostream& operator<<(std::ostream& out, const call_record& record);

} // namespace goldcrestwell::test

#endif
