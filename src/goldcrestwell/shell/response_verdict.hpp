#ifndef GOLDCRESTWELL_SHELL_RESPONSE_VERDICT_HPP
#define GOLDCRESTWELL_SHELL_RESPONSE_VERDICT_HPP

#include "goldcrestwell/core/message/upstream_result.hpp"

namespace goldcrestwell {

/** @brief Meaning of a complete response of an upstream. */
struct response_verdict {
    upstream_outcome outcome{upstream_outcome::answered};
    /** @brief Whether the response names the request that it belongs to, so that a copy of it can be recognised. */
    bool identified{true};
    /** @brief Whether another upstream than the expected one has answered. */
    bool misdirected{};
};

} // namespace goldcrestwell

#endif
