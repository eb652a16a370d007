#include "goldcrestwell/codec/sidecar_settings_reader.hpp"

#include "goldcrestwell/codec/settings_document.hpp"
#include "goldcrestwell/codec/settings_walker.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <string>
#include <utility>

namespace goldcrestwell {

namespace {

using internal::presence;
using internal::settings_walker;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t max_port = std::numeric_limits<std::uint16_t>::max();

sidecar_settings visit_all(settings_walker& walker) {
    sidecar_settings to;
    std::string host;
    std::uint16_t peer_port{};
    // The platform fills in its own figures, which may have a fraction.
    walker.round_fractions();
    walker.enter("");
    walker.address("host", host, presence::required);
    walker.number("peer_port", "", 1, max_port, peer_port, presence::required);
    walker.name("data_centre", to.data_centre.value, presence::required);
    walker.name("region", to.region.value, presence::required);
    walker.endpoint("caller_listener", to.caller_listener);
    walker.endpoint("ready_listener", to.ready_listener);
    walker.endpoint("announcement_listener", to.announcement_listener);
    walker.endpoint("admin_listener", to.admin_listener);
    to.self = parse_node_id(host + ":" + std::to_string(peer_port)).value_or(node_id{});
    walker.enter("upstream");
    walker.name("service", to.upstream_service.value, presence::required);
    walker.endpoint("address", to.upstream_address);
    walker.duration("announcement_interval_ms", milliseconds{50}, minutes{1}, to.announcement_interval);
    walker.duration("drain_ms", milliseconds{0}, minutes{1}, to.upstream_drain);
    walker.enter("store");
    walker.endpoint("address", to.store);
    walker.duration("timeout_ms", milliseconds{100}, minutes{1}, to.store_timeout);
    walker.duration("long_poll_ms", milliseconds{100}, seconds{30}, to.long_poll);
    walker.duration("short_poll_ms", milliseconds{100}, seconds{30}, to.short_poll);
    walker.duration("standby_pause_ms", milliseconds{0}, seconds{5}, to.max_standby_read_interval);
    walker.duration("peer_wait_ms", milliseconds{0}, seconds{5}, to.max_peer_wait);
    walker.enter("calls");
    walker.number("retry_extra", "retries", 0, 1'000'000, to.retry_extra);
    walker.limits(to.limits);
    walker.enter("drain");
    walker.duration("grace_s", seconds{1}, minutes{10}, to.shutdown_timeout);
    walker.enter("logging");
    walker.level("level", to.logging.level);
    return to;
}

} // namespace

std::optional<sidecar_settings> sidecar_settings_reader::read(const std::string_view text) {
    sidecar_settings settings;
    faults_ = internal::walk_document(text, [&settings](settings_walker& walker) { settings = visit_all(walker); });
    return faults_.empty() ? std::optional{std::move(settings)} : std::nullopt;
}

std::vector<setting_description> sidecar_settings_reader::descriptions() {
    const auto document = nlohmann::json::object();
    settings_walker walker{document};
    visit_all(walker);
    return std::move(walker.descriptions());
}

} // namespace goldcrestwell
