#include "goldcrestwell/shell/admin_listener.hpp"

#include "goldcrestwell/codec/announcement.hpp"
#include "goldcrestwell/codec/record_codec.hpp"
#include "goldcrestwell/codec/table_csv.hpp"
#include "goldcrestwell/core/node/node.hpp"
#include "goldcrestwell/shell/metrics_text.hpp"
#include "goldcrestwell/shell/process_usage.hpp"
#include "goldcrestwell/shell/status_json.hpp"
#include "goldcrestwell/shell/table_view.hpp"

#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_bad_request = 400;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_conflict = 409;
constexpr std::uint32_t status_unavailable = 503;
constexpr std::uint32_t status_unknown = 504;

http_response make_response(const std::uint32_t status, std::string type, std::string body) {
    return {.status = status, .headers = {{.name = "Content-Type", .value = std::move(type)}}, .body = std::move(body)};
}

http_response text_response(const std::uint32_t status, const std::string_view text) {
    return make_response(status, "text/plain; charset=utf-8", std::string{text} + '\n');
}

http_response json_response(const std::uint32_t status, std::string document) {
    return make_response(status, "application/json", std::move(document));
}

http_response verdict_response(const edit_id& id, const std::optional<edit_verdict>& verdict) {
    const auto status = !verdict ? status_unknown : verdict->accepted() ? status_ok : status_conflict;
    return json_response(status, verdict_json(id, verdict));
}

http_server_options with_handler(http_server_options options,
                                 std::function<void(const std::shared_ptr<http_exchange>&)> handler) {
    options.on_request = std::move(handler);
    return options;
}

} // namespace

admin_listener::admin_listener(event_loop& loop, node& core, upstream_client& upstream, http_server_options options)
    : loop_{loop}, core_{core}, upstream_{upstream}, memory_{options.memory},
      handlers_{{"GET /status",
                 [this](const exchange_pointer& exchange) {
                     show_status(exchange);
                 }},
                {"GET /metrics",
                 [this](const exchange_pointer& exchange) {
                     show_metrics(exchange);
                 }},
                {"GET /ready",
                 [this](const exchange_pointer& exchange) {
                     show_ready(exchange);
                 }},
                {"GET /table",
                 [this](const exchange_pointer& exchange) {
                     show_table(exchange);
                 }},
                {"POST /edits",
                 [this](const exchange_pointer& exchange) {
                     apply_edit(exchange);
                 }},
                {"GET /edits",
                 [this](const exchange_pointer& exchange) {
                     show_result(exchange);
                 }},
                {"POST /announce",
                 [this](const exchange_pointer& exchange) {
                     announce(exchange);
                 }},
                {"POST /withdraw",
                 [this](const exchange_pointer& exchange) {
                     withdraw(exchange);
                 }}},
      server_{loop, with_handler(std::move(options), [this](const exchange_pointer& exchange) { serve(exchange); })} {}

void admin_listener::serve(const exchange_pointer& exchange) {
    const auto found = handlers_.find(exchange->method() + ' ' + std::string{exchange->path()});
    if (found == handlers_.end()) {
        exchange->reply(text_response(status_not_found, "not found"));
        return;
    }
    found->second(exchange);
}

void admin_listener::show_status(const exchange_pointer& exchange) const {
    exchange->reply(json_response(status_ok, status_json(core_, current_usage())));
}

void admin_listener::show_metrics(const exchange_pointer& exchange) const {
    exchange->reply(
        make_response(status_ok, "text/plain; version=0.0.4", metrics_text(core_, current_usage(), memory_.get())));
}

void admin_listener::show_ready(const exchange_pointer& exchange) const {
    exchange->reply(core_.ready() ? text_response(status_ok, "ready") : text_response(status_unavailable, "not ready"));
}

void admin_listener::show_table(const exchange_pointer& exchange) const {
    exchange->reply(make_response(status_ok, "text/csv; charset=utf-8", encode(table_lines(core_, loop_.now().wall))));
}

void admin_listener::apply_edit(const exchange_pointer& exchange) {
    record_decoder decoder;
    const auto record = decoder.decode(exchange->body());
    const auto* edit = record ? std::get_if<table_edit>(&*record) : nullptr;
    if (edit == nullptr) {
        exchange->reply(text_response(status_bad_request, to_string(decoder.last_reason())));
        return;
    }
    const auto decided = [exchange, id = edit->id](const std::optional<edit_verdict>& verdict) {
        exchange->reply(verdict_response(id, verdict));
    };
    core_.on_edit(*edit, decided, loop_.now());
}

void admin_listener::show_result(const exchange_pointer& exchange) const {
    const auto id = parse_edit_id(exchange->parameter("id").value_or(""));
    if (!id) {
        exchange->reply(text_response(status_bad_request, "the parameter id must be 32 hexadecimal digits"));
        return;
    }
    exchange->reply(verdict_response(*id, core_.follower().reducer().verdict(*id)));
}

void admin_listener::announce(const exchange_pointer& exchange) {
    announcement_reader reader;
    const auto announced = reader.read(exchange->body());
    if (!announced) {
        core_.counts().drops.add(drop_reason::announcement_unreadable);
        exchange->reply(text_response(status_bad_request, to_string(reader.last_reason())));
        return;
    }
    upstream_.set_upstream(to_endpoint(announced->address), announced->upstream.connections);
    core_.on_upstream_announced(announced->upstream, loop_.now());
    exchange->reply(text_response(status_ok, "announced"));
}

void admin_listener::withdraw(const exchange_pointer& exchange) {
    core_.on_upstream_withdrawn(loop_.now());
    exchange->reply(text_response(status_ok, "withdrawn"));
}

} // namespace goldcrestwell
