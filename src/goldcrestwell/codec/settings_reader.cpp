#include "goldcrestwell/codec/settings_reader.hpp"

#include "goldcrestwell/codec/settings_document.hpp"
#include "goldcrestwell/codec/settings_walker.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"

#include <nlohmann/json.hpp>

#include <limits>

namespace goldcrestwell {

namespace {

using internal::presence;
using internal::settings_walker;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t max_port = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t kibibyte = 1024;

void visit_identity(settings_walker& walker, node_settings& to) {
    std::string host;
    std::uint16_t peer_port{};
    walker.enter("");
    walker.address("host", host, presence::required);
    walker.number("peer_port", "", 1, max_port, peer_port, presence::required);
    walker.name("data_centre", to.data_centre.value, presence::required);
    walker.name("region", to.region.value, presence::required);
    walker.endpoints("seeds", to.seeds);
    to.self = parse_node_id(host + ":" + std::to_string(peer_port)).value_or(node_id{});
    walker.require(host != "0.0.0.0", "host", "the address that peers use");
}

void visit_listeners(settings_walker& walker, node_settings& to) {
    walker.enter("caller_listener");
    walker.address("address", to.caller_listener.address, presence::optional);
    walker.number("port", "", 1, max_port, to.caller_listener.port, presence::required);
    walker.number("max_body_bytes", "bytes", kibibyte, max_body_bytes, to.caller_listener.max_body_bytes);
    walker.number("max_header_bytes", "bytes", kibibyte, 256 * kibibyte, to.caller_listener.max_header_bytes);
    walker.duration("idle_timeout_ms", milliseconds{100}, hours{1}, to.caller_listener.idle_timeout);
    walker.enter("admin_listener");
    walker.address("address", to.admin_listener.address, presence::optional);
    walker.number("port", "", 1, max_port, to.admin_listener.port, presence::required);
}

void visit_platform_log(settings_walker& walker, platform_log_settings& to) {
    walker.enter("platform_log");
    walker.endpoint("address", to.address);
    walker.name("stream", to.stream, presence::optional);
    walker.duration("request_timeout_ms", milliseconds{100}, minutes{1}, to.request_timeout);
    walker.duration("long_poll_ms", milliseconds{100}, minutes{5}, to.long_poll);
    walker.duration("retention_s", seconds{60}, std::chrono::days{365}, to.retention);
}

void visit_calls(settings_walker& walker, call_settings& to) {
    walker.enter("calls");
    walker.duration("default_timeout_ms", milliseconds{10}, minutes{10}, to.default_timeout);
    walker.number("max_hops", "hops", 1, 64, to.max_hops);
    walker.number("max_retries", "retries", 0, 2, to.max_retries);
    walker.number("retry_budget_percent", "percent", 0, 100, to.retry_budget_percent);
    walker.number("max_connections", "connections", 1, 10'000, to.max_connections);
}

void visit_membership(settings_walker& walker, membership_settings& to) {
    walker.enter("membership");
    walker.duration("probe_interval_ms", milliseconds{50}, minutes{1}, to.probe_interval);
    walker.duration("probe_timeout_ms", milliseconds{10}, minutes{1}, to.probe_timeout);
    walker.duration("suspicion_unit_ms", milliseconds{100}, minutes{1}, to.suspicion_unit);
    walker.duration("sync_interval_ms", milliseconds{1'000}, hours{1}, to.sync_interval);
    walker.number("control_bytes_per_second", "bytes/s", 1'000, 10'000'000, to.control_bytes_per_second);
    walker.require(to.probe_timeout < to.probe_interval, "membership.probe_timeout_ms",
                   "less than membership.probe_interval_ms");
}

void visit_rollouts(settings_walker& walker, rollout_settings& to) {
    walker.enter("moves");
    walker.duration("default_duration_s", seconds{1}, std::chrono::days{30}, to.default_duration);
    walker.duration("bake_time_s", seconds{0}, std::chrono::days{7}, to.bake_time);
    walker.number("min_samples", "calls", 1, 1'000'000, to.min_samples);
    walker.duration("dwell_ms", milliseconds{100}, hours{24}, to.dwell);
    walker.duration("evidence_interval_ms", milliseconds{100}, minutes{1}, to.evidence_interval);
}

void visit_process(settings_walker& walker, node_settings& to) {
    walker.limits(to.limits);
    walker.enter("drain");
    walker.duration("limit_ms", milliseconds{100}, hours{1}, to.drain.limit);
    walker.enter("announcement");
    walker.duration("expiry_ms", milliseconds{1'500}, minutes{5}, to.announcement.expiry);
    walker.enter("logging");
    walker.level("level", to.logging.level);
    walker.text("file", to.logging.file);
}

node_settings visit_all(settings_walker& walker) {
    node_settings settings;
    visit_identity(walker, settings);
    visit_listeners(walker, settings);
    visit_platform_log(walker, settings.platform_log);
    visit_calls(walker, settings.calls);
    visit_membership(walker, settings.membership);
    visit_rollouts(walker, settings.rollouts);
    visit_process(walker, settings);
    return settings;
}

} // namespace

std::string to_string(const settings_fault& fault) {
    std::string line = fault.key.empty() ? "file" : fault.key;
    line.append(": ").append(to_string(fault.reason));
    if (!fault.expected.empty()) {
        line.append(" (").append(fault.expected).append(")");
    }
    return line;
}

std::optional<node_settings> settings_reader::read(const std::string_view text) {
    node_settings settings;
    faults_ = internal::walk_document(text, [&settings](settings_walker& walker) { settings = visit_all(walker); });
    return faults_.empty() ? std::optional{std::move(settings)} : std::nullopt;
}

std::vector<setting_description> settings_reader::descriptions() {
    const auto document = nlohmann::json::object();
    settings_walker walker{document};
    visit_all(walker);
    return std::move(walker.descriptions());
}

} // namespace goldcrestwell
