#include "goldcrestwell/core/membership/membership.hpp"

#include "goldcrestwell/core/membership/member_order.hpp"
#include "goldcrestwell/core/membership/membership_state.hpp"

#include <utility>

namespace goldcrestwell {

membership::membership(membership_options options)
    : state_{std::make_unique<internal::membership_state>(std::move(options))} {}

membership::membership(membership&&) noexcept = default;
membership& membership::operator=(membership&&) noexcept = default;
membership::~membership() = default;

void membership::start(const time_sample now) {
    state_->start(now);
}

void membership::set_seeds(std::vector<node_id> seeds, const time_sample now) {
    state_->set_seeds(std::move(seeds), now);
}

void membership::on_datagram(const datagram& message, const time_sample now) {
    state_->on_datagram(message, now);
}

void membership::on_sync(const node_id from, const sync_digest& digest, const time_sample now) {
    state_->on_sync(from, digest, now);
}

void membership::on_sync(const node_id from, const sync_state& state, const time_sample now) {
    state_->on_sync(from, state, now);
}

void membership::on_sync(const node_id from, const sync_list& list, const time_sample now) {
    state_->on_sync(from, list, now);
}

void membership::on_sync(const node_id from, const sync_request& request, const time_sample now) {
    state_->on_sync(from, request, now);
}

void membership::on_timer(const time_sample now) {
    state_->on_timer(now);
}

std::optional<steady_time> membership::next_timer() const {
    return state_->next_timer();
}

void membership::announce(const upstream_info& upstream, const time_sample now) {
    if (state_->self().upstream == upstream || is_tombstone(state_->self().status)) {
        return;
    }
    state_->change_self([&upstream](member& record) { record.upstream = upstream; }, now);
}

void membership::withdraw(const time_sample now) {
    if (!state_->self().upstream || is_tombstone(state_->self().status)) {
        return;
    }
    state_->change_self([](member& record) { record.upstream.reset(); }, now);
}

void membership::start_leaving(const time_sample now) {
    if (state_->self().status >= member_status::leaving) {
        return;
    }
    state_->change_self([](member& record) { record.status = member_status::leaving; }, now);
}

void membership::finish_leaving(const time_sample now) {
    state_->finish_leaving(now);
}

void membership::broadcast(const rollout_update& update, const bool urgent, const time_sample now) {
    state_->broadcast(update, urgent, now);
}

void membership::set_position(const log_offset position, const time_sample now) {
    state_->set_position(position, now);
}

const member* membership::find(const node_id id) const {
    return state_->table().find(id);
}

const std::map<node_id, member>& membership::members() const noexcept {
    return state_->table().members();
}

bool membership::reachable(const region& name) const {
    return state_->regions().reachable(name);
}

const std::vector<node_id>& membership::upstreams(const service_name& service, const upstream_version& version) const {
    return state_->index().upstreams(service, version);
}

std::vector<node_id> membership::service_nodes(const service_name& service) const {
    return state_->index().service_nodes(service);
}

const std::vector<node_id>& membership::alive_in(const data_centre& name) const {
    return state_->index().alive_in(name);
}

std::vector<node_id> membership::alive() const {
    return state_->index().alive();
}

bool membership::spend(const size_type bytes, const control_priority priority, const time_sample now) {
    return state_->spend(bytes, priority, now);
}

const membership_counters& membership::counts() const noexcept {
    return state_->counts();
}

} // namespace goldcrestwell
