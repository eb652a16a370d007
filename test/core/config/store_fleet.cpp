#include "core/config/store_fleet.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds store_latency{4};
constexpr milliseconds call_timeout{1'500};
constexpr milliseconds local_latency{1};
constexpr milliseconds remote_latency{3};
constexpr milliseconds probe_interval{500};
constexpr milliseconds push_interval{100};
constexpr std::size_t push_fan_out = 3;
constexpr std::size_t push_rounds = 2;
// Time after which other nodes take a silent node for failed, and after which they use it again.
constexpr milliseconds detection_time{2'000};
constexpr milliseconds recovery_time{300};
constexpr milliseconds max_silence{1'000};

} // namespace

store_fleet::store_fleet(store_fleet_options options)
    : options_{std::move(options)}, random_{options_.seed}, nodes_(options_.data_centres * options_.nodes_each) {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        add_node(index);
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        nodes_[index].next_target = random_() % nodes_.size();
        time_.after(milliseconds{random_() % 500}, [this, index] { probe(index); });
        time_.after(milliseconds{random_() % 100}, [this, index] {
            deliver(index, [this](const fleet_node& node) { node.follower->start(time_.now()); });
        });
    }
}

void store_fleet::add_node(const std::size_t index) {
    auto& node = nodes_[index];
    node.documents = std::make_unique<document_register>(document_register_options{
        .is_in_same_data_centre =
            [this, index](const node_id from) { return data_centre_of(index_of(from)) == data_centre_of(index); },
        .is_on_standby = [this, index] { return !reads_immediately(index); },
        .send_pull =
            [this, index](const node_id to, const document_pull& pull) {
                send(index, index_of(to),
                     [this, index, pull](const fleet_node& peer) { peer.documents->on_pull(id_of(index), pull); });
            },
        .send_batch =
            [this, index](const node_id to, const document_batch& batch) {
                if (options_.loses_batch && options_.loses_batch(index, index_of(to))) {
                    return;
                }
                send(index, index_of(to), [batch](const fleet_node& peer) {
                    peer.documents->on_batch(batch);
                    peer.follower->advance_to(peer.documents->position());
                });
            },
        .record_changed =
            [](const operator_record&) {
                return true;
            }});
    node.follower = std::make_unique<store_follower>(store_follower_options{
        .seed = random_(),
        .polls_briefly = [this, index] { return readers_before(index) == 0; },
        .max_standby_read_interval = milliseconds{1'400},
        .max_peer_wait = milliseconds{1'500},
        .expects_peer_records = [&node] { return node.documents->is_pull_pending(); },
        .reads_immediately = [this, index] { return reads_immediately(index); },
        .has_recent_peer_data = [this, &node] { return time_.now() - node.last_message < max_silence; },
        .read_newest = [this, index] { read(index, log_offset{}, milliseconds{}); },
        .read_after = [this, index](const log_offset after, const milliseconds wait) { read(index, after, wait); },
        .page_received = [&node](const store_page& page) { node.documents->on_records(page.records, page.end); },
        .reachable_changed =
            [](bool) {
            }});
}

// Events of a paused node are handled in their order once it continues.
void store_fleet::deliver(const std::size_t index, std::function<void(fleet_node&)> action) {
    auto& node = nodes_[index];
    if (node.is_dead) {
        return;
    }
    if (time_.now() < node.paused_until) {
        time_.at(node.paused_until, [this, index, action = std::move(action)] { deliver(index, action); });
        return;
    }
    action(node);
    finish_event(index);
}

void store_fleet::finish_event(const std::size_t index) {
    auto& node = nodes_[index];
    if (node.documents->position() > node.advertised_position) {
        node.advertised_position = node.documents->position();
        push_position(index, push_rounds);
    }
    auto next = node.follower->next_timer();
    if (const auto due = node.documents->next_timer(); due && (!next || *due < *next)) {
        next = due;
    }
    if (!next || (node.scheduled_timer && *node.scheduled_timer <= *next && *node.scheduled_timer > time_.now())) {
        return;
    }
    node.scheduled_timer = next;
    time_.at(*next, [this, index] {
        deliver(index, [this](const fleet_node& woken) {
            woken.documents->on_timer(time_.now());
            woken.follower->on_timer(time_.now());
        });
    });
}

void store_fleet::change() {
    ++end_;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (const auto& outstanding = nodes_[index].read; outstanding && outstanding->is_held) {
            answer(index, outstanding->number);
        }
    }
}

void store_fleet::set_service(const std::size_t node, const store_service service) {
    nodes_[node].service = service;
    if (const auto& outstanding = nodes_[node].read; outstanding && service == store_service::resetting) {
        finish_read(node, outstanding->number, {.outcome = read_outcome::failed});
    }
}

void store_fleet::pause(const std::size_t node, const milliseconds duration) {
    auto& paused = nodes_[node];
    paused.paused_until = time_.now() + duration;
    paused.suspected_from = time_.now() + detection_time;
    paused.suspected_until = std::max(paused.suspected_from, paused.paused_until + recovery_time);
}

void store_fleet::kill(const std::size_t node) {
    nodes_[node].is_dead = true;
    nodes_[node].suspected_from = time_.now() + detection_time;
    nodes_[node].suspected_until = steady_time::max();
}

std::string store_fleet::outdated_nodes() const {
    std::string text;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (!nodes_[index].is_dead && time_.now() >= nodes_[index].paused_until && !is_up_to_date(index)) {
            text.append(" ").append(std::to_string(index));
        }
    }
    return text;
}

void store_fleet::read(const std::size_t index, const log_offset after, const milliseconds wait) {
    const auto number = ++last_read_;
    const auto times_out = time_.now() + wait + call_timeout;
    ++reads_;
    nodes_[index].read = outstanding_read{.number = number, .after = after, .times_out = times_out};
    time_.at(times_out, [this, index, number] { finish_read(index, number, {.outcome = read_outcome::failed}); });
    time_.after(store_latency / 2, [this, index, number, after, wait] {
        auto& node = nodes_[index];
        if (!node.read || node.read->number != number || node.service == store_service::silent) {
            return;
        }
        if (node.service != store_service::normal || after < log_offset{end_} || wait == milliseconds{}) {
            answer(index, number);
            return;
        }
        node.read->is_held = true;
        time_.after(wait, [this, index, number] { answer(index, number); });
    });
}

void store_fleet::answer(const std::size_t index, const std::uint64_t number) {
    auto& node = nodes_[index];
    if (!node.read || node.read->number != number || node.read->is_answered) {
        return;
    }
    node.read->is_held = false;
    node.read->is_answered = true;
    if (node.service == store_service::silent || (options_.loses_answer && options_.loses_answer(index))) {
        return;
    }
    const auto page = node.service == store_service::normal ? page_after(node.read->after)
                                                            : store_page{.outcome = read_outcome::failed};
    const auto delay = options_.answer_delay ? options_.answer_delay(index) : milliseconds{};
    time_.after(store_latency / 2 + delay, [this, index, number, page] { finish_read(index, number, page); });
}

void store_fleet::finish_read(const std::size_t index, const std::uint64_t number, const store_page& page) {
    auto& outstanding = nodes_[index].read;
    if (!outstanding || outstanding->number != number) {
        return;
    }
    outstanding.reset();
    deliver(index, [this, page](const fleet_node& node) { node.follower->on_page(page, time_.now()); });
}

store_page store_fleet::page_after(const log_offset after) const {
    store_page page{.outcome = read_outcome::ok, .end = log_offset{end_}};
    if (after < page.end) {
        page.records.push_back({.offset = page.end, .key = "config", .payload = "c"});
    }
    return page;
}

void store_fleet::send(const std::size_t from, const std::size_t to, std::function<void(fleet_node&)> action) {
    const auto latency = data_centre_of(from) == data_centre_of(to) ? local_latency : remote_latency;
    time_.after(latency, [this, to, action = std::move(action)] {
        deliver(to, [this, action](fleet_node& node) {
            node.last_message = time_.now();
            action(node);
        });
    });
}

void store_fleet::send_position(const std::size_t from, const std::size_t to) {
    send(from, to, [this, from, position = nodes_[from].documents->position()](const fleet_node& node) {
        node.documents->on_peer_position(id_of(from), position, time_.now());
    });
}

void store_fleet::push_position(const std::size_t index, const std::size_t rounds) {
    for (std::size_t i = 0; i < push_fan_out; ++i) {
        send_position(index, next_target(index));
    }
    if (rounds > 1) {
        time_.after(push_interval, [this, index, rounds] {
            if (!nodes_[index].is_dead && time_.now() >= nodes_[index].paused_until) {
                push_position(index, rounds - 1);
            }
        });
    }
}

void store_fleet::probe(const std::size_t index) {
    deliver(index, [this, index](const fleet_node&) {
        const auto target = next_target(index);
        send_position(index, target);
        send(index, target, [this, index, target](const fleet_node&) { send_position(target, index); });
    });
    time_.after(probe_interval, [this, index] { probe(index); });
}

std::size_t store_fleet::next_target(const std::size_t index) {
    auto& next = nodes_[index].next_target;
    for (std::size_t tries = 0; tries < nodes_.size(); ++tries) {
        next = (next + 1) % nodes_.size();
        if (next != index && !is_suspected(next)) {
            break;
        }
    }
    return next;
}

bool store_fleet::is_suspected(const std::size_t index) const {
    return time_.now() >= nodes_[index].suspected_from && time_.now() < nodes_[index].suspected_until;
}

std::size_t store_fleet::readers_before(const std::size_t index) const {
    std::size_t count = 0;
    for (auto other = data_centre_of(index) * options_.nodes_each; other < index; ++other) {
        count += is_suspected(other) ? 0U : 1U;
    }
    return count;
}

bool store_fleet::reads_immediately(const std::size_t index) const {
    return readers_before(index) < reader_count;
}

} // namespace goldcrestwell::test
