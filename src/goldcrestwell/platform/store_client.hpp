#ifndef GOLDCRESTWELL_PLATFORM_STORE_CLIENT_HPP
#define GOLDCRESTWELL_PLATFORM_STORE_CLIENT_HPP

#include "goldcrestwell/core/config/store_page.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_connection.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Address and limits of the client. */
struct store_client_options {
    endpoint server;
    /** @brief Time for an answer, in addition to the time that a read may wait. */
    std::chrono::milliseconds timeout{1'500};
};

/** @brief The only client of the platform's store. Results come by hook, after the call has returned. */
class store_client {
public:
    using page_hook = std::function<void(const store_page& page)>;
    using written_hook = std::function<void(bool confirmed)>;

    store_client(event_loop& loop, store_client_options options);

    /** @brief Reads the newest record of each key of a topic. */
    void read_newest(std::string_view topic, page_hook done);
    /** @brief Reads the records of a topic behind a position, waiting for new ones; one such read at a time. */
    void read_after(std::string_view topic, log_offset after, std::chrono::milliseconds wait, page_hook done);
    /** @brief Appends a record; with `at`, only if the topic ends there. */
    void append(std::string_view topic, std::string_view key, std::string_view payload, std::optional<log_offset> at,
                written_hook done);

private:
    using result_hook = std::function<void(const upstream_result& result)>;
    struct waiting_call {
        http_client_request request;
        result_hook done;
    };

    void read_newest_page(std::string topic, store_page sofar, const std::string& after_key, page_hook done);
    void call(http_client_request request, result_hook done);
    void send_next();
    [[nodiscard]] http_connection& usable(std::unique_ptr<http_connection>& connection);

    event_loop& loop_;
    store_client_options options_;
    std::deque<waiting_call> waiting_;
    bool in_progress_{};
    /** @brief For long polls, which would hold up other calls. */
    std::unique_ptr<http_connection> poller_;
    std::unique_ptr<http_connection> caller_;
};

} // namespace goldcrestwell

#endif
