#ifndef GOLDCRESTWELL_CORE_NODE_NODE_HPP
#define GOLDCRESTWELL_CORE_NODE_NODE_HPP

#include "goldcrestwell/core/common/call_id.hpp"
#include "goldcrestwell/core/common/counters.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/core/node/node_options.hpp"

#include <cstdint>
#include <functional>

namespace goldcrestwell {

/** @brief Joins the modules of the core: events come in as calls with the time, effects go out through hooks. */
class node {
public:
    using reply_hook = std::function<void(const call_result&)>;

    explicit node(node_options options);

    /**
     * @brief A caller's request.
     * @param call The request; its time-out counts from now.
     * @param reply Called exactly once, perhaps before this function returns.
     * @return Number of the call, for `on_call_cancelled`.
     */
    call_id on_call(call_request call, reply_hook reply, time_sample now);

    /** @brief The caller of a call has gone; nobody waits for its result. */
    void on_call_cancelled(call_id call, time_sample now);

    /** @return True if the node has a configuration that it may serve. */
    [[nodiscard]] bool ready() const noexcept;

    [[nodiscard]] const counters& counts() const noexcept { return counts_; }

private:
    node_options options_;
    counters counts_;
    std::uint64_t last_call_{};
};

} // namespace goldcrestwell

#endif
