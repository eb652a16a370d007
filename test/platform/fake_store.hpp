#ifndef GOLDCRESTWELL_TEST_PLATFORM_FAKE_STORE_HPP
#define GOLDCRESTWELL_TEST_PLATFORM_FAKE_STORE_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_server.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "platform/store_copy.hpp"
#include "platform/store_outage.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/**
 * @brief In-memory fake of the platform's store that follows its published protocol; each topic has one partition.
 *
 * It can go away and return from an earlier copy, as the platform's store does in drills: the era in its responses
 * rises by one, and the offsets after those of the copy are given out again.
 */
class fake_store {
public:
    /** @brief Returns the value of the era header, or nothing to omit it. */
    using era_header_hook = std::function<std::optional<std::string>(std::uint64_t era)>;

    fake_store(event_loop& loop, std::uint16_t port);

    [[nodiscard]] bool start() { return server_->start(); }
    /** @brief Appends a record, as an operator does. */
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /** @return The newest value of a key, or an empty string if there is none. */
    [[nodiscard]] std::string newest(const std::string& topic, const std::string& key) const;
    /** @brief Sets whether all requests fail with status 503. */
    void set_down(const bool down) noexcept { down_ = down; }
    /** @brief Sets whether appends are applied but reported as failed. */
    void lose_append_responses(const bool lose) noexcept { lose_append_responses_ = lose; }
    /** @brief Drops the history of a topic, so that only the newest record of each key can be read. */
    void compact(const std::string& topic);

    /** @return Copy from which the store can return. */
    [[nodiscard]] store_copy copy() const;
    /** @brief Begins an outage; records can still be put. */
    void go_away(const store_outage& outage);
    /**
     * @brief Ends an outage with the present history.
     * @return False if the port could not be bound.
     */
    [[nodiscard]] bool come_back();
    /** @brief Ends an outage with the history of a copy, in the next era. */
    [[nodiscard]] bool come_back(const store_copy& copy);
    [[nodiscard]] bool away() const noexcept { return outage_.has_value(); }
    [[nodiscard]] std::uint64_t era() const noexcept { return era_; }
    void set_era_header(era_header_hook hook) { era_header_ = std::move(hook); }
    /** @brief Holds the next response to a request for a path instead of sending it. */
    void hold_next_response(const std::string& path) { held_path_ = path; }
    [[nodiscard]] bool holds_response() const noexcept { return held_response_.has_value(); }
    /**
     * @brief Sends the response that is held, as it was when it was held, even during an outage.
     * @return False if none is held or its client has closed the connection.
     */
    [[nodiscard]] bool send_held_response();

    [[nodiscard]] std::size_t calls() const noexcept { return calls_; }

private:
    /** @brief Long poll that waits for a record. */
    struct waiting_read {
        std::shared_ptr<http_exchange> exchange;
        std::uint64_t from{};
        std::unique_ptr<timer> expiry;
    };
    struct held_response {
        std::shared_ptr<http_exchange> exchange;
        http_response response;
    };
    struct topic_log {
        topic_records content;
        std::list<waiting_read> waiting_reads;
    };

    [[nodiscard]] std::unique_ptr<http_server> make_server();
    void serve(const std::shared_ptr<http_exchange>& exchange);
    void append(topic_log& topic, const std::shared_ptr<http_exchange>& exchange);
    void read(topic_log& topic, const std::shared_ptr<http_exchange>& exchange);
    void on_read_expired(topic_log& topic, std::list<waiting_read>::iterator expired_read);
    void reply_newest(const topic_records& topic, const std::shared_ptr<http_exchange>& exchange);
    void reply_read(const topic_records& topic, std::uint64_t from, const std::shared_ptr<http_exchange>& exchange);
    /** @brief Responds to the long polls whose first record exists. */
    void complete_reads(topic_log& topic);
    /** @brief Sends or holds a response, with the era of the present history. */
    void reply(const std::shared_ptr<http_exchange>& exchange, http_response response);

    event_loop& loop_;
    std::uint16_t port_;
    std::map<std::string, topic_log> topics_;
    std::uint64_t era_{1};
    era_header_hook era_header_;
    std::optional<store_outage> outage_;
    std::string held_path_;
    std::optional<held_response> held_response_;
    bool down_{};
    bool lose_append_responses_{};
    std::size_t calls_{};
    std::unique_ptr<http_server> server_;
};

} // namespace goldcrestwell::test

#endif
