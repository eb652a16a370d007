#ifndef GOLDCRESTWELL_TEST_PLATFORM_FAKE_STORE_HPP
#define GOLDCRESTWELL_TEST_PLATFORM_FAKE_STORE_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_server.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief In-memory fake of the platform's store that follows its published protocol; each topic has one partition. */
class fake_store {
public:
    fake_store(event_loop& loop, std::uint16_t port);

    [[nodiscard]] bool start() { return server_.start(); }
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
    [[nodiscard]] std::size_t calls() const noexcept { return calls_; }

private:
    struct record {
        std::string key;
        std::string value;
    };
    /** @brief Long poll that waits for a record. */
    struct waiting_read {
        std::shared_ptr<http_exchange> exchange;
        std::uint64_t from{};
        std::unique_ptr<timer> expiry;
    };
    struct topic_log {
        std::vector<record> records;
        std::size_t first_retained{};
        std::list<waiting_read> waiting_reads;
    };

    void serve(const std::shared_ptr<http_exchange>& exchange);
    void append(topic_log& topic, const std::shared_ptr<http_exchange>& exchange);
    void read(topic_log& topic, const std::shared_ptr<http_exchange>& exchange);
    static void reply_newest(const topic_log& topic, const std::shared_ptr<http_exchange>& exchange);
    static void reply_read(const topic_log& topic, std::uint64_t from, http_exchange& exchange);
    static void complete_reads(topic_log& topic);

    event_loop& loop_;
    std::map<std::string, topic_log> topics_;
    bool down_{};
    bool lose_append_responses_{};
    std::size_t calls_{};
    http_server server_;
};

} // namespace goldcrestwell::test

#endif
