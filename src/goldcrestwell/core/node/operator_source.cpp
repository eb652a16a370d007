#include "goldcrestwell/core/node/operator_source.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace goldcrestwell {

namespace {

// Coordinators broadcast the state of a new rollout within a few hundred milliseconds.
constexpr std::chrono::milliseconds status_check_delay{700};

// Returns the shares of the services of a route. Services take the place of versions because `share_picker` picks
// versions.
std::vector<version_share> split_shares(const route_config& route) {
    std::uint64_t sum = 0;
    for (const auto& entry : route.services) {
        sum += entry.weight;
    }
    std::vector<version_share> shares;
    std::uint64_t assigned = 0;
    std::uint64_t cumulative = 0;
    for (const auto& entry : route.services) {
        cumulative += entry.weight;
        // Rounding the running sum ensures that the shares add up to the full share.
        const auto upper = sum == 0 ? 0 : cumulative * full_share.value() / sum;
        shares.push_back(
            {.version = {entry.service.value}, .share = share{static_cast<std::uint32_t>(upper - assigned)}});
        assigned = upper;
    }
    return shares;
}

} // namespace

operator_source::operator_source(operator_source_options options, operator_source_links links)
    : options_{std::move(options)}, links_{std::move(links)}, random_{links_.seed},
      register_{{.is_in_same_data_centre = links_.is_nearby,
                 .is_on_standby = [this] { return !links_.reads_store_immediately(); },
                 .send_pull = links_.send_pull,
                 .send_batch = links_.send_batch,
                 .pack = options_.hooks.pack,
                 .unpack = options_.hooks.unpack,
                 .record_unreadable = links_.record_unreadable,
                 .record_changed = [this](const operator_record& record) { return apply_record(record); },
                 .record_outdated =
                     [this](const operator_record& record, const log_offset known) {
                         links_.record_skipped({.key = record.key,
                                                .offset = record.offset,
                                                .reason = skip_reason::known_offset,
                                                .known_offset = known});
                     }}},
      follower_{{.seed = links_.seed,
                 .long_poll = options_.long_poll,
                 .short_poll = options_.short_poll,
                 .polls_briefly = links_.polls_store_briefly,
                 .max_standby_read_interval = options_.max_standby_read_interval,
                 .max_peer_wait = options_.max_peer_wait,
                 .expects_peer_records = [this] { return register_.is_pull_pending(); },
                 .reads_immediately = links_.reads_store_immediately,
                 .has_recent_peer_data = links_.has_recent_contact,
                 .read_newest = options_.hooks.read_newest,
                 .read_after = options_.hooks.read_after,
                 .page_received = [this](const store_page& page) { register_.on_records(page.records, page.end); },
                 .reachable_changed = links_.store_changed}},
      recorder_{{.read = options_.hooks.read_statuses,
                 .write = options_.hooks.write_status,
                 .recorded =
                     [this](const rollout_status& status) {
                         rollouts_.on_recorded(status, now_);
                     }}},
      rollouts_{[this] {
          auto rollouts = links_.rollouts;
          rollouts.record_status = [this](const rollout_status& status) {
              recorder_.record(status);
          };
          return rollouts;
      }()} {}

void operator_source::start(const time_sample now) {
    now_ = now;
    follower_.start(now.steady);
}

void operator_source::on_page(const store_page& page, const time_sample now) {
    now_ = now;
    follower_.on_page(page, now.steady);
}

void operator_source::on_peer_position(const node_id from, const log_offset position, const time_sample now) {
    register_.on_peer_position(from, position, now.steady);
}

void operator_source::on_batch(const document_batch& batch, const time_sample now) {
    now_ = now;
    register_.on_batch(batch);
    follower_.advance_to(register_.position());
}

void operator_source::on_statuses(const std::optional<std::vector<rollout_status>>& statuses, const log_offset end,
                                  const time_sample now) {
    now_ = now;
    recorder_.on_read(statuses, end);
}

void operator_source::on_status_written(const bool confirmed, const time_sample now) {
    now_ = now;
    recorder_.on_written(confirmed);
}

void operator_source::on_history_replaced(const time_sample now) {
    now_ = now;
    recorder_.on_history_replaced();
    rollouts_.on_history_replaced(now);
}

void operator_source::on_timer(const time_sample now) {
    now_ = now;
    register_.on_timer(now.steady);
    follower_.on_timer(now.steady);
    rollouts_.on_timer(now);
    if (status_check_due_ && now.steady >= *status_check_due_) {
        status_check_due_.reset();
        check_statuses();
    }
}

void operator_source::check_statuses() {
    if (rollouts_.has_unknown_state()) {
        recorder_.refresh();
    }
}

std::optional<steady_time> operator_source::next_timer() const {
    std::optional<steady_time> next;
    for (const auto& due :
         {register_.next_timer(), follower_.next_timer(), rollouts_.next_timer(), status_check_due_}) {
        if (due && (!next || *due < *next)) {
            next = due;
        }
    }
    return next;
}

bool operator_source::apply_record(const operator_record& record) {
    // A lost record without a document must not replace one that the present history holds.
    const auto is_present = era_of(record.offset) >= era_of(register_.position());
    if (record.payload.empty()) {
        return is_present;
    }
    const auto document = options_.hooks.decode(record);
    if (!document) {
        links_.record_unreadable(record);
        return is_present;
    }
    return std::visit([this, &record](const auto& decoded) { return apply(decoded, record); }, *document);
}

// The active configuration never gets older: a copy of the store may hold an earlier version than this node has
// applied.
bool operator_source::apply(const routing_config& config, const operator_record& record) {
    if (config_ && config.version < config_->version) {
        links_.record_skipped({.key = record.key,
                               .offset = record.offset,
                               .reason = skip_reason::older_version,
                               .known_offset = config_offset_,
                               .version = config.version,
                               .known_version = config_->version});
        return false;
    }
    if (config_ && config.version == config_->version) {
        const auto is_later = record.offset > config_offset_;
        config_offset_ = std::max(config_offset_, record.offset);
        return is_later;
    }
    config_offset_ = record.offset;
    config_ = config;
    route_configs_ = route_config_index{config.routes};
    std::erase_if(service_pickers_, [this](const auto& item) { return route_configs_.find(item.first) == nullptr; });
    links_.config_changed(*config_);
    return true;
}

bool operator_source::apply(const rollout_request& request, const operator_record& record) {
    if (!rollouts_.on_request(request, record.offset, now_)) {
        links_.record_skipped({.key = record.key, .offset = record.offset, .reason = skip_reason::known_request});
        return false;
    }
    links_.rollout_request_received(request);
    if (rollouts_.is_coordinator(request.service)) {
        check_statuses();
    } else {
        status_check_due_ = now_.steady + status_check_delay;
    }
    return true;
}

std::optional<route_view> operator_source::find_route(const call_request& call) {
    const auto* route = route_configs_.find(call.host, call.target);
    if (route == nullptr) {
        return std::nullopt;
    }
    return route_view{.route = route->name, .service = choose_service(*route), .shares_by_service = true};
}

std::optional<std::chrono::milliseconds> operator_source::find_timeout(const call_request& call) const {
    const auto* route = route_configs_.find(call.host, call.target);
    const auto is_limited = route != nullptr && route->timeout > std::chrono::milliseconds{};
    return is_limited ? std::optional{route->timeout} : std::nullopt;
}

service_name operator_source::choose_service(const route_config& route) {
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    auto picker = service_pickers_.find(route.name);
    if (picker == service_pickers_.end()) {
        picker = service_pickers_.emplace(route.name, share_picker{random_()}).first;
    }
    // A service keeps its weight even if it lacks capacity.
    const auto chosen = picker->second.pick(split_shares(route), [](const upstream_version&) { return true; });
    return {chosen ? chosen->value : route.services.front().service.value};
}

row_policy operator_source::find_policy(const row_key& row) const {
    const auto* route = route_configs_.find(row.route);
    if (route == nullptr) {
        return {.retry_safe_methods = false};
    }
    return {.limits = {.timeout = route->timeout},
            .idempotent = route->idempotent,
            .retry_safe_methods = false,
            .retry_failed_responses = true,
            .max_attempts = route->max_attempts,
            .objective = route->objective,
            .priority = route->priority};
}

} // namespace goldcrestwell
