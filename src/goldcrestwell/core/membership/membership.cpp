#include "goldcrestwell/core/membership/membership.hpp"

namespace goldcrestwell {

namespace internal {

/** @brief Everything behind the public interface. */
class membership_state {
public:
    explicit membership_state(membership_options options) : options_{std::move(options)} {
        members_[options_.self.id] = options_.self;
    }

    membership_options options_;
    membership_counters counts_;
    std::map<node_id, member> members_;
    std::vector<node_id> none_;
};

} // namespace internal

membership::membership(membership_options options)
    : state_{std::make_unique<internal::membership_state>(std::move(options))} {}

membership::membership(membership&&) noexcept = default;
membership& membership::operator=(membership&&) noexcept = default;
membership::~membership() = default;

void membership::start(time_sample) {}
void membership::on_datagram(const datagram&, time_sample) {}
void membership::on_sync(node_id, const sync_digest&, time_sample) {}
void membership::on_sync(node_id, const sync_state&, time_sample) {}
void membership::on_timer(time_sample) {}

std::optional<steady_time> membership::next_timer() const {
    return std::nullopt;
}

void membership::announce(const upstream_info& upstream, time_sample) {
    state_->members_[state_->options_.self.id].upstream = upstream;
}

void membership::withdraw(time_sample) {
    state_->members_[state_->options_.self.id].upstream.reset();
}

void membership::leave(time_sample) {}
void membership::depart(time_sample) {}
void membership::broadcast(const move_update&, bool, time_sample) {}
void membership::set_position(log_offset, time_sample) {}

const member* membership::find(const node_id id) const {
    const auto found = state_->members_.find(id);
    return found == state_->members_.end() ? nullptr : &found->second;
}

const std::map<node_id, member>& membership::members() const noexcept {
    return state_->members_;
}

bool membership::reachable(const region&) const {
    return true;
}

const std::vector<node_id>& membership::upstreams(const service_name&, const upstream_version&) const {
    return state_->none_;
}

std::vector<node_id> membership::service_nodes(const service_name&) const {
    return {};
}

const std::vector<node_id>& membership::alive_in(const data_centre&) const {
    return state_->none_;
}

std::vector<node_id> membership::alive() const {
    return {state_->options_.self.id};
}

bool membership::spend(size_type, control_priority, time_sample) {
    return true;
}

const membership_counters& membership::counts() const noexcept {
    return state_->counts_;
}

} // namespace goldcrestwell
