#ifndef GOLDCRESTWELL_TEST_PLATFORM_STORE_STAND_IN_HPP
#define GOLDCRESTWELL_TEST_PLATFORM_STORE_STAND_IN_HPP

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

/** @brief The platform's store as its published protocol describes it: topics with one partition, in memory. */
class store_stand_in {
public:
    store_stand_in(event_loop& loop, std::uint16_t port);

    [[nodiscard]] bool start() { return server_.start(); }
    /** @brief An operator writes a record. */
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /** @return The newest value of a key; empty if there is none. */
    [[nodiscard]] std::string newest(const std::string& topic, const std::string& key) const;
    /** @brief While set, every call is refused with 503. */
    void set_down(const bool down) noexcept { down_ = down; }
    /** @brief While set, appends are done but their answers are errors. */
    void lose_append_answers(const bool lose) noexcept { lose_answers_ = lose; }
    /** @brief Drops the history of a topic; the newest records stay. */
    void compact(const std::string& topic);
    [[nodiscard]] std::size_t calls() const noexcept { return calls_; }

private:
    struct record {
        std::string key;
        std::string value;
    };
    /** @brief A read that waits for a record. */
    struct waiting_read {
        std::shared_ptr<http_exchange> exchange;
        std::uint64_t from{};
        std::unique_ptr<timer> expiry;
    };
    struct topic_state {
        std::vector<record> records;
        std::size_t first{};
        std::list<waiting_read> waiting;
    };

    void serve(const std::shared_ptr<http_exchange>& exchange);
    void append(topic_state& topic, const std::shared_ptr<http_exchange>& exchange);
    void read(topic_state& topic, const std::shared_ptr<http_exchange>& exchange);
    static void show_newest(const topic_state& topic, const std::shared_ptr<http_exchange>& exchange);
    static void answer_read(const topic_state& topic, std::uint64_t from, http_exchange& exchange);
    static void wake(topic_state& topic);

    event_loop& loop_;
    std::map<std::string, topic_state> topics_;
    bool down_{};
    bool lose_answers_{};
    std::size_t calls_{};
    http_server server_;
};

} // namespace goldcrestwell::test

#endif
