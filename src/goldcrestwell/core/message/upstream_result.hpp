#ifndef GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_RESULT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_RESULT_HPP

#include "goldcrestwell/core/message/http_response.hpp"

#include <cstdint>

namespace goldcrestwell {

/**
 * @brief Outcome of a request to an upstream.
 *
 * `rejected`: the upstream stated that it did not run the request; `invalid`: the received bytes are not a valid and
 * complete response to the request; `out_of_memory`: this node has no memory for the response.
 */
enum class upstream_outcome : std::uint8_t {
    answered,
    not_sent,
    timed_out,
    reset,
    truncated,
    too_large,
    rejected,
    invalid,
    out_of_memory
};

/** @brief Outcome of a request to an upstream, with the response if it was complete. */
struct upstream_result {
    upstream_outcome outcome{upstream_outcome::reset};
    http_response response;
};

} // namespace goldcrestwell

#endif
