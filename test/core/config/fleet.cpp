#include "core/config/fleet.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace goldcrestwell::test {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_records_per_read = 7;

} // namespace

fleet::fleet(const std::uint64_t seed, const std::size_t data_centres, const std::size_t nodes_each)
    : random{seed}, nodes_each_{nodes_each}, log_{retention, seed}, reference_{{.invariants = &monitor}},
      nodes_(data_centres * nodes_each) {
    history_.emplace(log_offset{}, reference_.snapshot());
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        start(index);
    }
    schedule_after(milliseconds{100}, [this] { gossip_positions(); });
}

void fleet::start(const std::size_t index) {
    auto& node = nodes_[index];
    ++node.start_count;
    node.held_events.clear();
    node.paused = false;
    node.reading = false;
    node.highest_position = {};
    node.sends_by_offset.clear();
    node.follower = std::make_unique<config_follower>(options_for(index));
    deliver(index, [this](config_follower& follower) { follower.start({.steady = now_, .wall = edit_time}); });
}

config_follower_options fleet::options_for(const std::size_t index) {
    config_follower_options options;
    options.self = node_id{1, static_cast<std::uint16_t>(index)};
    options.seed = random();
    options.retention = retention;
    options.checkpoint_rank_interval = milliseconds{1000};
    options.checkpoint_retry_delay = milliseconds{5000};
    options.long_poll = milliseconds{5000};
    options.max_window_records = 20;
    options.max_batch_bytes = 1000;
    options.invariants = &monitor;
    add_hooks(index, options);
    return options;
}

void fleet::add_hooks(const std::size_t index, config_follower_options& options) {
    const auto self = options.self;
    options.read_log = [this, index](const log_offset after, const milliseconds wait) {
        read(index, after, wait);
    };
    options.append_record = [this](const log_record& record) {
        append(record);
    };
    options.send_pull = [this, index, self](const node_id to, const config_pull& pull) {
        send(index, to,
             [this, self, pull](config_follower& other) { other.on_pull(self, pull, {.steady = now_, .wall = {}}); });
    };
    options.send_batch = [this, index, self](const node_id to, const record_batch& batch) {
        state_transfers += batch.after == batch.through ? 1 : 0;
        for (const auto& record : batch.records) {
            ++nodes_[index].sends_by_offset[record.offset.value()];
        }
        if (happens_with(faults.batch_loss_probability)) {
            return;
        }
        send(index, to, [this, self, batch](config_follower& other) {
            other.on_peer_batch(self, batch, {.steady = now_, .wall = {}});
        });
    };
    options.data_centre_peers = [this, index] {
        return members(data_centre_of(index));
    };
    options.all_peers = [this] {
        return members(std::nullopt);
    };
    options.snapshot_changed = [](const std::shared_ptr<const table_snapshot>&) {
    };
    options.edit_decided = [](const edit_verdict&) {
    };
}

// Includes paused nodes, because membership may not have detected the pause yet.
std::vector<node_id> fleet::members(const std::optional<std::size_t> data_centre) const {
    std::vector<node_id> ids;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (!data_centre || data_centre_of(index) == *data_centre) {
            ids.emplace_back(1, static_cast<std::uint16_t>(index));
        }
    }
    return ids;
}

void fleet::deliver(const std::size_t index, std::function<void(config_follower&)> action) {
    auto& node = nodes_[index];
    if (node.paused) {
        node.held_events.emplace_back([this, index, action = std::move(action)] { deliver(index, action); });
        return;
    }
    action(*node.follower);
    check_state(index);
    if (const auto next = node.follower->next_timer()) {
        // An overdue timer fires immediately; run_for fails if this repeats without end, which would keep the thread
        // busy.
        const auto wake = std::max(*next, now_);
        schedule_after(std::chrono::ceil<milliseconds>(wake - now_), [this, index, start_count = node.start_count] {
            auto& waiting = nodes_[index];
            const auto due = waiting.follower->next_timer();
            if (waiting.start_count == start_count && due && *due <= now_) {
                deliver(index,
                        [this](config_follower& follower) { follower.on_timer({.steady = now_, .wall = edit_time}); });
            }
        });
    }
}

void fleet::check_state(const std::size_t index) {
    auto& node = nodes_[index];
    const auto position = node.follower->position();
    BOOST_REQUIRE_MESSAGE(position >= node.highest_position, "node " << index << " decreased its position");
    BOOST_REQUIRE_MESSAGE(position <= log_.head(), "node " << index << " is ahead of the log");
    if (position > node.highest_position) {
        node.highest_position = position;
        const auto expected = std::prev(history_.upper_bound(position))->second;
        BOOST_REQUIRE_MESSAGE(node.follower->reducer().snapshot()->rows() == expected->rows(),
                              "node " << index << " differs from the reference table at offset " << position.value());
    }
}

void fleet::send(const std::size_t from, const node_id to, const std::function<void(config_follower&)>& action) {
    const auto target = index_of(to);
    const auto disconnected = faults.data_centres_disconnected && data_centre_of(from) != data_centre_of(target);
    const auto copies = happens_with(faults.loss_probability) || disconnected
                            ? 0
                            : (happens_with(faults.duplication_probability) ? 2 : 1);
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = happens_with(faults.delay_probability) ? random() % 8000 : 1 + random() % 20;
        schedule_after(milliseconds{delay}, [this, target, start_count = nodes_[target].start_count, action] {
            if (nodes_[target].start_count == start_count) {
                deliver(target, action);
            }
        });
    }
}

void fleet::read(const std::size_t index, const log_offset after, const milliseconds wait) {
    BOOST_REQUIRE_MESSAGE(!nodes_[index].reading, "a second read was started while one is outstanding");
    nodes_[index].reading = true;
    ++log_reads;
    schedule_after(faults.log_delay,
                   [this, index, after, start_count = nodes_[index].start_count, until = now_ + wait] {
                       if (nodes_[index].start_count == start_count) {
                           finish_read(index, after, until);
                       }
                   });
}

void fleet::finish_read(const std::size_t index, const log_offset after, const steady_time until) {
    const auto failed = faults.log_down || happens_with(faults.loss_probability / 4);
    if (!failed && log_.head() <= after && now_ < until) {
        schedule_after(milliseconds{50}, [this, index, after, start_count = nodes_[index].start_count, until] {
            if (nodes_[index].start_count == start_count) {
                finish_read(index, after, until);
            }
        });
        return;
    }
    deliver(index, [this, index, failed, batch = log_.read(after, max_records_per_read)](config_follower& follower) {
        nodes_[index].reading = false;
        const time_sample now{.steady = now_, .wall = edit_time};
        failed ? follower.on_log_failure(now) : follower.on_log_batch(batch, now);
    });
}

bool fleet::append(const log_record& record) {
    if (faults.log_down) {
        return false;
    }
    const auto* part = std::get_if<checkpoint_part>(&record);
    checkpoints += part != nullptr && part->index == 0 ? 1 : 0;
    reference_.apply(log_.append(record, now_));
    history_.insert_or_assign(reference_.position(), reference_.snapshot());
    return true;
}

// Sends the positions that membership datagrams would carry.
void fleet::gossip_positions() {
    log_.expire(now_);
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (nodes_[index].paused) {
            continue;
        }
        const node_id self{1, static_cast<std::uint16_t>(index)};
        const node_id other{1, static_cast<std::uint16_t>(random() % nodes_.size())};
        const auto position = nodes_[index].follower->position();
        send(index, other, [this, self, position](config_follower& follower) {
            follower.on_peer_position(self, position, {.steady = now_, .wall = edit_time});
        });
    }
    schedule_after(milliseconds{200}, [this] { gossip_positions(); });
}

void fleet::schedule_after(const milliseconds delay, std::function<void()> action) {
    events_.push({.at = now_ + delay, .order = next_event_order_++, .action = std::move(action)});
}

void fleet::run_for(const milliseconds duration) {
    const auto end = now_ + duration;
    std::size_t events_at_same_time = 0;
    while (!events_.empty() && events_.top().at <= end) {
        const auto next = events_.top();
        events_.pop();
        events_at_same_time = next.at == now_ ? events_at_same_time + 1 : 0;
        BOOST_REQUIRE_MESSAGE(events_at_same_time < 10'000, "10,000 events without progress of the simulated time");
        now_ = next.at;
        next.action();
    }
    now_ = end;
}

void fleet::pause(const std::size_t index) {
    nodes_[index].paused = true;
}

void fleet::resume(const std::size_t index) {
    auto& node = nodes_[index];
    node.paused = false;
    for (const auto& action : std::exchange(node.held_events, {})) {
        action();
    }
}

void fleet::restart(const std::size_t index) {
    start(index);
}

bool fleet::happens_with(const double probability) {
    return std::uniform_real_distribution<double>{}(random) < probability;
}

std::size_t fleet::max_sends_per_record() const {
    std::size_t max_sends = 0;
    for (const auto& node : nodes_) {
        for (const auto& [offset, sends] : node.sends_by_offset) {
            max_sends = std::max(max_sends, sends);
        }
    }
    return max_sends;
}

} // namespace goldcrestwell::test
