#ifndef GOLDCRESTWELL_TEST_CORE_CONFIG_STORE_FLEET_HPP
#define GOLDCRESTWELL_TEST_CORE_CONFIG_STORE_FLEET_HPP

#include "core/node/virtual_time.hpp"
#include "goldcrestwell/core/config/document_register.hpp"
#include "goldcrestwell/core/config/store_follower.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief How the store treats the calls of one node. */
enum class store_service : std::uint8_t {
    normal,
    refusing,  /**< Calls are answered with a failure, and so are polls that end. */
    resetting, /**< As `refusing`; polls in progress fail at once. */
    silent     /**< Calls and polls that end are not answered. */
};

/** @brief Size and faults of a `store_fleet`. */
struct store_fleet_options {
    std::uint64_t seed{1};
    std::size_t data_centres{2};
    std::size_t nodes_each{5};
    /** @brief Checks whether an answer of the store to a node is lost; if empty, none is. */
    std::function<bool(std::size_t node)> loses_answer;
    /** @brief Additional delay of an answer of the store to a node; if empty, there is none. */
    std::function<std::chrono::milliseconds(std::size_t node)> answer_delay;
    /** @brief Checks whether a batch of records between nodes is lost; if empty, none is. */
    std::function<bool(std::size_t from, std::size_t to)> loses_batch;
};

/** @brief Followers and registers of the nodes of several data centres, with a store, gossip and pulls in virtual time.
 */
class store_fleet {
public:
    static constexpr std::size_t reader_count = 3;

    explicit store_fleet(store_fleet_options options);

    void run_for(const std::chrono::microseconds duration) { time_.run_for(duration); }
    void schedule_after(const std::chrono::milliseconds delay, std::function<void()> action) {
        time_.after(delay, std::move(action));
    }
    /** @brief Writes a newer configuration to the store. */
    void change();
    void set_service(std::size_t node, store_service service);
    /** @brief Suspends a node; it later handles the events that have arrived. */
    void pause(std::size_t node, std::chrono::milliseconds duration);
    /** @brief Ends a node without notice. */
    void kill(std::size_t node);

    [[nodiscard]] std::size_t size() const noexcept { return nodes_.size(); }
    [[nodiscard]] std::size_t data_centre_of(const std::size_t node) const { return node / options_.nodes_each; }
    /** @brief Checks whether a node reads each change immediately while all nodes run. */
    [[nodiscard]] bool is_reader(const std::size_t node) const { return node % options_.nodes_each < reader_count; }
    [[nodiscard]] bool is_up_to_date(const std::size_t node) const {
        return nodes_[node].documents->position() == log_offset{end_};
    }
    /** @return Nodes that run and have not applied the last change, as text. */
    [[nodiscard]] std::string outdated_nodes() const;
    [[nodiscard]] std::size_t reads() const noexcept { return reads_; }
    [[nodiscard]] steady_time now() const noexcept { return time_.now(); }

private:
    struct outstanding_read {
        std::uint64_t number{};
        log_offset after;
        steady_time times_out{};
        /** @brief True while the store holds the call as a long poll. */
        bool is_held{};
        /** @brief True once the store has sent the answer, which may be lost. */
        bool is_answered{};
    };
    struct fleet_node {
        std::unique_ptr<document_register> documents;
        std::unique_ptr<store_follower> follower;
        store_service service{store_service::normal};
        std::optional<outstanding_read> read;
        steady_time paused_until{};
        /** @brief Interval in which other nodes take the node for failed. */
        steady_time suspected_from{steady_time::max()};
        steady_time suspected_until{steady_time::max()};
        steady_time last_message{};
        log_offset advertised_position;
        std::optional<steady_time> scheduled_timer;
        std::size_t next_target{};
        bool is_dead{};
    };

    void add_node(std::size_t index);
    void deliver(std::size_t index, std::function<void(fleet_node&)> action);
    void finish_event(std::size_t index);
    void read(std::size_t index, log_offset after, std::chrono::milliseconds wait);
    void answer(std::size_t index, std::uint64_t number);
    void finish_read(std::size_t index, std::uint64_t number, const store_page& page);
    void send(std::size_t from, std::size_t to, std::function<void(fleet_node&)> action);
    void send_position(std::size_t from, std::size_t to);
    void push_position(std::size_t index, std::size_t rounds);
    void probe(std::size_t index);
    [[nodiscard]] std::size_t next_target(std::size_t index);
    [[nodiscard]] bool is_suspected(std::size_t index) const;
    /** @return Number of nodes of the data centre that read the store before this one. */
    [[nodiscard]] std::size_t readers_before(std::size_t index) const;
    [[nodiscard]] bool reads_immediately(std::size_t index) const;
    [[nodiscard]] store_page page_after(log_offset after) const;
    [[nodiscard]] node_id id_of(const std::size_t index) const { return {1, static_cast<std::uint16_t>(index + 1)}; }
    [[nodiscard]] std::size_t index_of(const node_id id) const { return id.port() - std::size_t{1}; }

    store_fleet_options options_;
    std::mt19937_64 random_;
    virtual_time time_;
    std::vector<fleet_node> nodes_;
    std::uint64_t end_{1};
    std::uint64_t last_read_{};
    std::size_t reads_{};
};

} // namespace goldcrestwell::test

#endif
