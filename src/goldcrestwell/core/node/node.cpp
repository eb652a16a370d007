#include "goldcrestwell/core/node/node.hpp"

#include <utility>

namespace goldcrestwell {

node::node(node_options options) : options_{std::move(options)} {}

call_id node::on_call(call_request /*call*/, reply_hook reply, const time_sample /*now*/) {
    ++counts_.calls;
    counts_.refusals.add(refusal_reason::not_ready);
    reply(call_refusal{.reason = refusal_reason::not_ready, .state = run_state::not_run});
    return call_id{++last_call_};
}

void node::on_call_cancelled(const call_id /*call*/, const time_sample /*now*/) {}

bool node::ready() const noexcept {
    return false;
}

} // namespace goldcrestwell
