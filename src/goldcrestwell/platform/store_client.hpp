#ifndef GOLDCRESTWELL_PLATFORM_STORE_CLIENT_HPP
#define GOLDCRESTWELL_PLATFORM_STORE_CLIENT_HPP

#include "goldcrestwell/core/common/memory_reservation.hpp"
#include "goldcrestwell/core/common/store_era.hpp"
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

/** @brief Server address, time limit and hooks of a `store_client`. */
struct store_client_options {
    endpoint server;
    /** @brief Time limit of a request, in addition to the wait time of a long poll. */
    std::chrono::milliseconds timeout{1'500};
    /** @brief Budget for responses; if null, only their size limit applies. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Reports that records of a topic could not be decoded, once for each page; must be set. */
    std::function<void(std::string_view topic, std::size_t count)> records_skipped;
    /**
     * @brief Called with the era that a response reports, if any, before its result is passed on; must be set.
     * @return Era of the response, or nothing for one of an earlier history, which then counts as a failure.
     */
    std::function<std::optional<store_era>(std::optional<store_era> reported)> response_received;
};

/** @brief Client of the platform's store. Hooks are called after the requesting function has returned. */
class store_client {
public:
    using page_hook = std::function<void(const store_page& page)>;
    using append_hook = std::function<void(bool confirmed)>;

    store_client(event_loop& loop, store_client_options options);

    /** @brief Reads the newest record of each key of a topic. */
    void read_newest(std::string_view topic, page_hook done);
    /** @brief Reads the records of a topic after a position with a long poll; only one such read may be in progress. */
    void read_after(std::string_view topic, log_offset after, std::chrono::milliseconds wait, page_hook done);
    /**
     * @brief Appends a record; with `expected_end`, only if the topic ends at this position.
     *
     * In a later history than the one of `expected_end` it is not sent, or, if it was sent before, not confirmed.
     */
    void append(std::string_view topic, std::string_view key, std::string_view payload,
                std::optional<log_offset> expected_end, append_hook done);
    /** @brief Appends a record without waiting for other calls; only one such append may be in progress. */
    void append_at_once(std::string_view topic, std::string_view key, std::string_view payload,
                        std::chrono::milliseconds timeout, append_hook done);

private:
    /** @brief Result of a call; `era` is the one of the response, or empty if there is no valid response. */
    using result_hook = std::function<void(const upstream_result& result, std::optional<store_era> era)>;
    struct queued_call {
        http_client_request request;
        result_hook done;
        /** @brief Era outside which the call is not sent; empty if it may be sent in any. */
        std::optional<store_era> required_era;
    };

    /** @param memory Memory reserved for the pages collected so far. */
    void read_newest_page(std::string topic, store_page collected, const std::string& after_key,
                          std::shared_ptr<memory_reservation> memory, page_hook done);
    /** @return Era of a response, or nothing if there is no response or it belongs to an earlier history. */
    [[nodiscard]] std::optional<store_era> identify_era(const upstream_result& result);
    void report_skipped(std::string_view topic, std::size_t count) const;
    void enqueue(http_client_request request, result_hook done, std::optional<store_era> required_era = {});
    void send_next_call();
    [[nodiscard]] http_connection& ensure_connection(std::unique_ptr<http_connection>& connection);

    event_loop& loop_;
    store_client_options options_;
    std::deque<queued_call> queue_;
    bool call_in_progress_{};
    /** @brief Era of the latest response. */
    store_era era_;
    /** @brief Used for long polls only, because they would delay all other requests. */
    std::unique_ptr<http_connection> poll_connection_;
    std::unique_ptr<http_connection> call_connection_;
    /** @brief Used for appends that do not wait for the queue. */
    std::unique_ptr<http_connection> urgent_connection_;
};

} // namespace goldcrestwell

#endif
