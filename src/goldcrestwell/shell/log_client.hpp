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

/** @brief Address, limits and hooks of the client. */
struct log_client_options {
    endpoint server;
    std::string stream{"config"};
    /** @brief Time for an answer, in addition to the time that a read may wait. */
    std::chrono::milliseconds request_timeout{2'000};
    std::size_t max_records_per_read{500};
    /** @brief Appends that wait for the one in progress; the oldest is dropped beyond that. */
    std::size_t max_waiting_appends{256};
    std::function<void(const record_batch& batch)> on_batch;
    /** @brief A read failed, timed out or was unreadable. */
    std::function<void()> on_read_failed;
    /** @brief An append was answered (true) or its outcome is unknown (false). */
    std::function<void(bool confirmed)> on_appended;
};

/** @brief Speaks the HTTP protocol of the platform's log; the only file that knows it. */
class log_client {
public:
    log_client(event_loop& loop, log_client_options options);

    /** @brief Reads records after an offset; one read at a time. */
    void read(log_offset after, std::chrono::milliseconds wait);

    /** @brief Appends a record after those that wait already. */
    void append(const log_record& record);

private:
    void on_read(log_offset after, const upstream_result& result);
    void send_next_append();
    void on_append_result(const upstream_result& result);
    [[nodiscard]] http_connection& usable(std::unique_ptr<http_connection>& connection);
    [[nodiscard]] std::string stream_target() const;

    event_loop& loop_;
    log_client_options options_;
    std::deque<std::string> waiting_appends_;
    bool append_in_progress_{};
    std::unique_ptr<http_connection> reader_;
    std::unique_ptr<http_connection> writer_;
};

} // namespace goldcrestwell

#endif
