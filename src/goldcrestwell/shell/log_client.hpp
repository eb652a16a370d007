#ifndef GOLDCRESTWELL_SHELL_LOG_CLIENT_HPP
#define GOLDCRESTWELL_SHELL_LOG_CLIENT_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/log_record.hpp"
#include "goldcrestwell/core/message/record_batch.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_connection.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace goldcrestwell {

/** @brief Server address, limits and hooks of a log client. */
struct log_client_options {
    endpoint server;
    std::string stream{"config"};
    /** @brief Response timeout; for reads, it is added to the wait time of the request. */
    std::chrono::milliseconds request_timeout{2'000};
    std::size_t max_records_per_read{500};
    /** @brief Maximum number of queued appends; if the queue is full, the oldest is dropped. */
    std::size_t max_waiting_appends{256};
    /** @brief Budget for responses; if null, only their size limit applies. */
    std::shared_ptr<memory_budget> memory;
    std::function<void(const record_batch& batch)> on_batch;
    /** @brief Called when a read failed, timed out or returned an unreadable response. */
    std::function<void()> on_read_failed;
    /** @brief Called when an append was confirmed (true) or its outcome is unknown (false). */
    std::function<void(bool confirmed)> on_appended;
};

/** @brief HTTP client of the platform log; no other class depends on its protocol. */
class log_client {
public:
    log_client(event_loop& loop, log_client_options options);

    /** @brief Reads the records after an offset; only one read may be in progress. */
    void read(log_offset after, std::chrono::milliseconds wait);

    /** @brief Queues a record; appends are sent one at a time, in order. */
    void append(const log_record& record);

private:
    void handle_read_result(log_offset after, const upstream_result& result);
    void send_next_append();
    void handle_append_result(const upstream_result& result);
    [[nodiscard]] http_connection& idle_connection(std::unique_ptr<http_connection>& connection);
    [[nodiscard]] std::string stream_target() const;

    event_loop& loop_;
    log_client_options options_;
    std::deque<std::string> pending_appends_;
    bool append_in_progress_{};
    std::unique_ptr<http_connection> read_connection_;
    std::unique_ptr<http_connection> append_connection_;
};

} // namespace goldcrestwell

#endif
