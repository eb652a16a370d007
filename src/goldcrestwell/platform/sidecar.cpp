#include "goldcrestwell/platform/sidecar.hpp"

#include "goldcrestwell/codec/document_packing.hpp"
#include "goldcrestwell/platform/call_codec.hpp"
#include "goldcrestwell/platform/directory_codec.hpp"
#include "goldcrestwell/platform/names.hpp"
#include "goldcrestwell/platform/operator_codec.hpp"
#include "goldcrestwell/shell/structured_log.hpp"

#include <utility>

namespace goldcrestwell {

namespace {

// The store answers an append within some milliseconds. A short timeout finds a store that serves again soon enough for
// an upstream, which waits for a second.
constexpr std::chrono::milliseconds departure_write_timeout{500};

upstream_registry_options to_registry_options(const sidecar_settings& settings, const steady_time created) {
    // One announcement may be late by half of the interval; the node gives an upstream up after four.
    constexpr int expiry_intervals = 4;
    return {.service = settings.upstream_service,
            .address = settings.upstream_address,
            .data_centre = settings.data_centre,
            .created = created,
            .takeover_silence = settings.announcement_interval + settings.announcement_interval / 2,
            .expiry = settings.announcement_interval * expiry_intervals};
}

} // namespace

sidecar::sidecar(event_loop& loop, const sidecar_settings& settings, node_process_options options)
    : loop_{loop}, settings_{settings}, upstream_registry_{to_registry_options(settings, loop.now().steady)},
      store_client_{loop,
                    {.server = to_endpoint(settings.store),
                     .timeout = settings.store_timeout,
                     .memory = options.memory,
                     .records_skipped = [this](const std::string_view topic,
                                               const std::size_t count) { report_skipped_records(topic, count); },
                     .response_received =
                         [this](const std::optional<store_era> reported) {
                             return process_.core().on_store_response(reported, loop_.now());
                         }}},
      max_connections_{options.admin.max_connections}, memory_{options.memory},
      process_{loop, add_platform_hooks(std::move(options))}, listener_{loop, listener_options(settings)} {}

// The upstream may announce itself before the node has started, so its listener is started first.
bool sidecar::start() {
    if (!listener_.start()) {
        start_failure_ = start_failure::announcement_listener;
        return false;
    }
    if (!process_.start()) {
        start_failure_ = process_.last_reason();
    }
    return start_failure_ == start_failure::none;
}

node_process_options sidecar::add_platform_hooks(node_process_options options) {
    options.core.operators = operator_source_options{.long_poll = settings_.long_poll,
                                                     .short_poll = settings_.short_poll,
                                                     .max_standby_read_interval = settings_.max_standby_read_interval,
                                                     .max_peer_wait = settings_.max_peer_wait,
                                                     .hooks = store_hooks()};
    options.callers.to_call = [this](const http_exchange& exchange) {
        return decode_call(exchange, settings_.upstream_service);
    };
    options.callers.to_response = encode_result;
    options.upstream.accept_close_delimited = true;
    options.upstream.headers = [this](const call_request& call, const std::chrono::milliseconds timeout) {
        return encode_call_headers(call, timeout, upstream_registry_.id());
    };
    options.upstream.classify_response = classify_response;
    options.upstream.on_misdirected = [this] {
        on_upstream_change(upstream_registry_.on_misdirected(loop_.now().steady));
    };
    return options;
}

operator_source_hooks sidecar::store_hooks() {
    const auto on_page = [this](const store_page& page) {
        process_.core().on_store_page(page, loop_.now());
    };
    return {.read_newest = [this, on_page] { store_client_.read_newest(platform_names::operator_topic, on_page); },
            .read_after =
                [this, on_page](const log_offset after, const std::chrono::milliseconds wait) {
                    store_client_.read_after(platform_names::operator_topic, after, wait, on_page);
                },
            .decode = decode_operator_record,
            .read_statuses = [this] { read_rollout_statuses(); },
            .write_status =
                [this](const rollout_status& status, const log_offset at) {
                    const auto record = encode_status(status);
                    store_client_.append(
                        platform_names::status_topic, record.key, record.payload, at,
                        [this](const bool confirmed) { process_.core().on_status_written(confirmed, loop_.now()); });
                },
            .write_node_entry =
                [this] {
                    store_client_.append(platform_names::directory_topic, to_string(settings_.self),
                                         settings_.data_centre.value, std::nullopt, [this](const bool confirmed) {
                                             process_.core().on_node_entry_written(confirmed, loop_.now());
                                         });
                },
            .read_node_directory = [this] { read_node_directory(); },
            .write_departures =
                [this](const std::vector<upstream_departure>& departures) {
                    const auto record = encode_departures(settings_.self, departures);
                    store_client_.append_at_once(
                        platform_names::directory_topic, record.key, record.payload, departure_write_timeout,
                        [this](const bool confirmed) { process_.core().on_departure_written(confirmed, loop_.now()); });
                },
            .read_departures = [this](const std::vector<node_id>& nodes) { read_departures(nodes); },
            .departures_received =
                [this](const std::vector<upstream_departure>& departures) { restore_departures(departures); },
            .pack = pack_document,
            .unpack = unpack_document};
}

void sidecar::read_node_directory() {
    store_client_.read_newest(platform_names::directory_topic, [this](const store_page& page) {
        std::optional<std::vector<node_id>> nodes;
        if (page.outcome == read_outcome::ok) {
            auto directory = decode_directory(page.records, settings_.self);
            report_skipped_records(platform_names::directory_topic, directory.skipped);
            nodes = std::move(directory.nodes);
            restore_departures(directory.departures);
        }
        process_.core().on_node_directory_read(nodes, loop_.now());
    });
}

void sidecar::read_departures(const std::vector<node_id>& nodes) {
    store_client_.read_newest(platform_names::directory_topic, [this, nodes](const store_page& page) {
        std::optional<std::vector<host_departures>> found;
        if (page.outcome == read_outcome::ok) {
            found.emplace();
            for (const auto node : nodes) {
                if (auto directory = decode_directory(page.records, node); directory.departures) {
                    found->push_back({.node = node, .departures = std::move(*directory.departures)});
                }
            }
        }
        process_.core().on_departures_read(found, loop_.now());
    });
}

// An unreadable record does not show which upstreams have left. It is replaced by the next departure.
void sidecar::restore_departures(const std::optional<std::vector<upstream_departure>>& departures) {
    if (departures) {
        on_upstream_change(upstream_registry_.restore(*departures, loop_.now().steady));
    }
    process_.core().on_departures_restored(upstream_registry_.departures(), loop_.now());
}

void sidecar::read_rollout_statuses() {
    store_client_.read_newest(platform_names::status_topic, [this](const store_page& page) {
        std::optional<std::vector<rollout_status>> statuses;
        if (page.outcome == read_outcome::ok) {
            statuses.emplace();
            for (const auto& record : page.records) {
                if (const auto status = decode_status(record)) {
                    statuses->push_back(*status);
                }
            }
        }
        process_.core().on_statuses(statuses, page.end, loop_.now());
    });
}

void sidecar::report_skipped_records(const std::string_view topic, const std::size_t count) {
    if (count > 0) {
        process_.core().counts().drops.add(drop_reason::record_unreadable, count);
        write_log(log_level::warning, "records_skipped", {{"topic", topic}, {"count", count}});
    }
}

void sidecar::on_upstream_change(const upstream_change change) {
    const auto now = loop_.now();
    switch (change) {
    case upstream_change::none:
    case upstream_change::departed:
        return;
    case upstream_change::leaving:
        write_log(log_level::info, "upstream_leaving", {{"upstream", upstream_registry_.departures().back().id}});
        process_.core().on_upstream_leaving(now);
        return;
    case upstream_change::started:
        write_log(log_level::info, "upstream_started",
                  {{"upstream", upstream_registry_.id()},
                   {"upstream_version", upstream_registry_.info().version.value},
                   {"slots", upstream_registry_.info().slots}});
        process_.upstream().close_idle_connections();
        process_.upstream().set_upstream(to_endpoint(settings_.upstream_address), upstream_registry_.info().slots);
        break;
    case upstream_change::renewed:
        break;
    }
    process_.core().on_upstream_announced(upstream_registry_.info(), now);
}

void sidecar::answer_change(const upstream_change change, const answer_hook& answer) {
    on_upstream_change(change);
    if (change == upstream_change::leaving || change == upstream_change::departed) {
        process_.core().on_upstream_departed(upstream_registry_.departures(), answer, loop_.now());
    } else {
        answer(true);
    }
}

platform_listener_options sidecar::listener_options(const sidecar_settings& settings) {
    return {.ready_endpoint = to_endpoint(settings.ready_listener),
            .announcement_endpoint = to_endpoint(settings.announcement_listener),
            .max_connections = max_connections_,
            .memory = memory_,
            .is_ready = [this] { return process_.core().ready() && !process_.core().draining(); },
            .on_announcement =
                [this](const upstream_announcement& announcement, const answer_hook& answer) {
                    answer_change(upstream_registry_.on_announcement(announcement, loop_.now().steady), answer);
                },
            .on_withdrawal =
                [this](const std::string_view id, const answer_hook& answer) {
                    answer_change(upstream_registry_.on_withdrawal(id, loop_.now().wall), answer);
                },
            .on_invalid_announcement =
                [this](const std::string_view id) {
                    process_.core().counts().drops.add(drop_reason::announcement_unreadable);
                    write_log(log_level::warning, "announcement_unreadable", {{"upstream", id}});
                }};
}

} // namespace goldcrestwell
