#include "goldcrestwell/core/node/operator_source.hpp"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace goldcrestwell {

namespace {

// The picker of version shares also keeps the shares of a route that is split between services.
std::vector<version_share> split_shares(const route_config& rule) {
    std::uint64_t sum = 0;
    for (const auto& part : rule.services) {
        sum += part.weight;
    }
    std::vector<version_share> shares;
    std::uint64_t given = 0;
    std::uint64_t reached = 0;
    for (const auto& part : rule.services) {
        reached += part.weight;
        // Rounding the running sum makes the shares add up to the whole.
        const auto until = sum == 0 ? 0 : reached * full_share.value() / sum;
        shares.push_back({.version = {part.service.value}, .share = share{static_cast<std::uint32_t>(until - given)}});
        given = until;
    }
    return shares;
}

} // namespace

operator_source::operator_source(operator_source_options options, operator_source_links links)
    : options_{std::move(options)}, links_{std::move(links)}, random_{links_.seed},
      register_{{.is_in_same_data_centre = links_.near,
                 .is_on_standby = [this] { return !links_.prompt(); },
                 .send_pull = links_.send_pull,
                 .send_batch = links_.send_batch,
                 .pack = options_.hooks.pack,
                 .unpack = options_.hooks.unpack,
                 .record_unreadable = links_.unreadable,
                 .record_changed =
                     [this](const operator_record& record) {
                         take(record);
                     }}},
      follower_{{.seed = links_.seed,
                 .long_poll = options_.long_poll,
                 .standby_pause = options_.standby_pause,
                 .reads_immediately = links_.prompt,
                 .has_recent_peer_data = links_.informed,
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

void operator_source::start() {
    follower_.start();
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

void operator_source::on_timer(const time_sample now) {
    now_ = now;
    register_.on_timer(now.steady);
    follower_.on_timer(now.steady);
    rollouts_.on_timer(now);
}

std::optional<steady_time> operator_source::next_timer() const {
    std::optional<steady_time> next;
    for (const auto& due : {register_.next_timer(), follower_.next_timer(), rollouts_.next_timer()}) {
        if (due && (!next || *due < *next)) {
            next = due;
        }
    }
    return next;
}

void operator_source::take(const operator_record& record) {
    if (record.payload.empty()) {
        return;
    }
    const auto document = options_.hooks.decode(record);
    if (!document) {
        links_.unreadable(record);
        return;
    }
    std::visit([this, &record](const auto& decoded) { apply(decoded, record); }, *document);
}

void operator_source::apply(const routing_config& config, const operator_record& /*record*/) {
    if (config_ && config.version <= config_->version) {
        return;
    }
    config_ = config;
    rules_ = route_config_index{config.routes};
    std::erase_if(splits_, [this](const auto& item) { return rules_.find(item.first) == nullptr; });
    links_.config_changed(*config_);
}

void operator_source::apply(const rollout_request& order, const operator_record& record) {
    rollouts_.on_request(order, record.offset, now_);
    links_.order_changed(order);
    recorder_.refresh();
}

std::optional<route_view> operator_source::find_route(const call_request& call) {
    const auto* rule = rules_.find(call.host, call.target);
    if (rule == nullptr) {
        return std::nullopt;
    }
    return route_view{.route = rule->name, .service = choose_service(*rule), .shares_by_service = true};
}

service_name operator_source::choose_service(const route_config& rule) {
    if (rule.services.size() == 1) {
        return rule.services.front().service;
    }
    auto picker = splits_.find(rule.name);
    if (picker == splits_.end()) {
        picker = splits_.emplace(rule.name, share_picker{random_()}).first;
    }
    // Each part keeps its weight even while its service is short of room.
    const auto chosen = picker->second.pick(split_shares(rule), [](const upstream_version&) { return true; });
    return {chosen ? chosen->value : rule.services.front().service.value};
}

row_policy operator_source::terms(const row_key& row) const {
    const auto* rule = rules_.find(row.route);
    if (rule == nullptr) {
        return {.retry_safe_methods = false};
    }
    return {.limits = {.timeout = rule->timeout},
            .idempotent = rule->idempotent,
            .retry_safe_methods = false,
            .retry_failed_responses = true,
            .max_attempts = rule->max_attempts,
            .objective = rule->objective,
            .priority = rule->priority};
}

} // namespace goldcrestwell
