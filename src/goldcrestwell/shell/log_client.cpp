#include "goldcrestwell/shell/log_client.hpp"

#include "goldcrestwell/codec/log_batch_codec.hpp"
#include "goldcrestwell/codec/record_codec.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"

#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t status_ok = 200;

bool succeeded(const upstream_result& result) {
    return result.outcome == upstream_outcome::answered && result.response.status == status_ok;
}

} // namespace

log_client::log_client(event_loop& loop, log_client_options options) : loop_{loop}, options_{std::move(options)} {}

void log_client::read(const log_offset after, const std::chrono::milliseconds wait) {
    const auto target = stream_target() + "?after=" + std::to_string(after.value()) +
                        "&wait_ms=" + std::to_string(wait.count()) +
                        "&max=" + std::to_string(options_.max_records_per_read);
    idle_connection(read_connection_)
        .send({.target = target, .timeout = wait + options_.request_timeout},
              [this, after](const upstream_result& result) { handle_read_result(after, result); });
}

void log_client::append(const log_record& record) {
    if (pending_appends_.size() >= options_.max_waiting_appends) {
        pending_appends_.pop_front();
        options_.on_appended(false);
    }
    pending_appends_.push_back(encode(record));
    send_next_append();
}

void log_client::handle_read_result(const log_offset after, const upstream_result& result) {
    if (!succeeded(result)) {
        options_.on_read_failed();
        return;
    }
    log_batch_decoder decoder;
    const auto batch = decoder.decode(result.response.body, after);
    if (!batch) {
        options_.on_read_failed();
        return;
    }
    options_.on_batch(*batch);
}

void log_client::send_next_append() {
    if (append_in_progress_ || pending_appends_.empty()) {
        return;
    }
    append_in_progress_ = true;
    auto body = std::move(pending_appends_.front());
    pending_appends_.pop_front();
    idle_connection(append_connection_)
        .send({.method = "POST",
               .target = stream_target(),
               .headers = {{.name = "Content-Type", .value = "application/octet-stream"}},
               .body = std::move(body),
               .timeout = options_.request_timeout},
              [this](const upstream_result& result) { handle_append_result(result); });
}

void log_client::handle_append_result(const upstream_result& result) {
    append_in_progress_ = false;
    options_.on_appended(succeeded(result));
    send_next_append();
}

http_connection& log_client::idle_connection(std::unique_ptr<http_connection>& connection) {
    if (connection == nullptr || !connection->idle()) {
        connection = std::make_unique<http_connection>(
            loop_, options_.server,
            http_connection_options{
                .max_response_bytes = max_log_response_bytes, .memory = options_.memory, .counts_as_small = true});
    }
    return *connection;
}

std::string log_client::stream_target() const {
    return "/streams/" + options_.stream + "/records";
}

} // namespace goldcrestwell
