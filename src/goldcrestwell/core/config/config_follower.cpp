#include "goldcrestwell/core/config/config_follower.hpp"

#include <utility>

namespace goldcrestwell {

config_follower::config_follower(config_follower_options options)
    : options_{std::move(options)}, reducer_{{.invariants = options_.invariants}} {}

void config_follower::start(time_sample /*now*/) {}
void config_follower::on_log_batch(const record_batch& /*batch*/, time_sample /*now*/) {}
void config_follower::on_log_failure(time_sample /*now*/) {}
void config_follower::on_peer_position(node_id /*peer*/, log_offset /*position*/, time_sample /*now*/) {}
void config_follower::on_pull(node_id /*from*/, const config_pull& /*pull*/, time_sample /*now*/) {}
void config_follower::on_peer_batch(node_id /*from*/, const record_batch& /*batch*/, time_sample /*now*/) {}
void config_follower::on_timer(time_sample /*now*/) {}

std::optional<steady_time> config_follower::next_timer() const {
    return std::nullopt;
}

} // namespace goldcrestwell
