#ifndef GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_RESULT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_RESULT_HPP

#include "goldcrestwell/core/message/http_answer.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief How a request to an upstream ended. */
enum class upstream_outcome : std::uint8_t { answered, not_sent, timed_out, reset, truncated, too_large };

/** @brief Outcome of a request to an upstream, with the answer if it is whole. */
struct upstream_result {
    upstream_outcome outcome{upstream_outcome::reset};
    http_answer answer;
};

} // namespace goldcrestwell

#endif
