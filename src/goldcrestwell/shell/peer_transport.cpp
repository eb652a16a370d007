// Connections of a peer transport; peer_transport_messages.cpp sends and receives messages.

#include "goldcrestwell/shell/peer_transport.hpp"

#include "goldcrestwell/codec/frame_codec.hpp"

#include <event2/util.h>

#include <utility>
#include <vector>

namespace goldcrestwell {

namespace {

constexpr std::chrono::seconds idle_check_interval{10};
// A node introduces itself as soon as it has connected.
constexpr std::chrono::seconds hello_timeout{1};
// Objects of a connection and its usual input and output.
constexpr std::size_t link_memory = 16'384;
// A message that makes no progress for this time may be given up when memory runs short.
constexpr std::chrono::seconds min_stall{1};

} // namespace

peer_transport::peer_transport(event_loop& loop, peer_transport_options options)
    : loop_{loop}, options_{std::move(options)}, idle_check_{loop,
                                                             [this](time_sample) {
                                                                 close_idle();
                                                             }},
      hello_check_{loop,
                   [this](time_sample) {
                       close_silent_peers();
                   }},
      listener_{loop, to_endpoint(options_.self), [this](const int descriptor) {
                    accept(descriptor);
                }} {}

bool peer_transport::start() {
    idle_check_.schedule_after(idle_check_interval);
    return listener_.start();
}

void peer_transport::replace(const node_id peer) {
    for (auto entry = links_.begin(); entry != links_.end();) {
        const auto next = std::next(entry);
        if (entry->second.peer == peer) {
            close_link(entry->first);
        }
        entry = next;
    }
    current_links_.erase(peer);
    open_link(peer);
}

void peer_transport::accept(const int descriptor) {
    memory_reservation memory{options_.memory};
    const auto has_room = links_.size() < options_.max_connections || close_unknown_peer();
    if (!has_room || !memory.resize(link_memory, memory_use::small)) {
        evutil_closesocket(descriptor);
        options_.on_drop(drop_reason::connection_refused);
        return;
    }
    const auto number = ++last_number_;
    auto options = make_options(number);
    options.max_frame_bytes = max_hello_bytes;
    links_.emplace(number,
                   link{.last_used = loop_.now().steady,
                        .memory = std::move(memory),
                        .incoming = transfer_assembler{options_.memory},
                        .connection = std::make_unique<peer_connection>(loop_, descriptor, std::move(options))});
    if (!std::exchange(hello_check_scheduled_, true)) {
        hello_check_.schedule_after(hello_timeout);
    }
}

// Connections have ascending numbers, so the first one found is the oldest.
bool peer_transport::close_unknown_peer() {
    for (const auto& [number, entry] : links_) {
        if (!entry.peer) {
            close_link(number);
            return true;
        }
    }
    return false;
}

void peer_transport::close_silent_peers() {
    const auto oldest_allowed = loop_.now().steady - hello_timeout;
    hello_check_scheduled_ = false;
    for (auto entry = links_.begin(); entry != links_.end();) {
        const auto next = std::next(entry);
        if (!entry->second.peer) {
            if (entry->second.last_used <= oldest_allowed) {
                close_link(entry->first);
            } else {
                hello_check_scheduled_ = true;
            }
        }
        entry = next;
    }
    if (hello_check_scheduled_) {
        hello_check_.schedule_after(hello_timeout);
    }
}

peer_transport::link& peer_transport::open_link(const node_id peer) {
    const auto number = ++last_number_;
    memory_reservation memory{options_.memory};
    // The node cannot do without connections to its peers, so it opens them even without memory for their buffers.
    static_cast<void>(memory.resize(link_memory, memory_use::small));
    auto& opened = links_
                       .emplace(number, link{.peer = peer,
                                             .outbound = true,
                                             .last_used = loop_.now().steady,
                                             .memory = std::move(memory),
                                             .incoming = transfer_assembler{options_.memory},
                                             .connection = std::make_unique<peer_connection>(loop_, to_endpoint(peer),
                                                                                             make_options(number))})
                       .first->second;
    current_links_.insert_or_assign(peer, number);
    opened.connection->send(
        encode(peer_message{hello{.sender = options_.self, .start_incarnation = options_.start_incarnation}}));
    return opened;
}

peer_transport::link* peer_transport::find_link(const node_id peer) {
    const auto current = current_links_.find(peer);
    if (current == current_links_.end()) {
        return nullptr;
    }
    return &links_.at(current->second);
}

peer_connection_options peer_transport::make_options(const link_number number) {
    return {.memory = options_.memory,
            .on_frame = [this, number](const std::string_view frame) { return handle_frame(number, frame); },
            .on_closed = [this, number](const codec_reason reason) { handle_close(number, reason); },
            .on_drained =
                [this, number] {
                    handle_drained(number);
                }};
}

bool peer_transport::handle_hello(const link_number number, const hello& hello_message) {
    auto& source = links_.at(number);
    if (source.outbound || source.peer || !hello_message.sender || hello_message.sender == options_.self) {
        options_.on_drop(drop_reason::unknown_sender);
        return false;
    }
    source.peer = hello_message.sender;
    source.connection->set_frame_limit(max_frame_bytes);
    // The peer opens a new connection only after abandoning the previous one, so data left on that one is stale.
    for (auto entry = links_.begin(); entry != links_.end();) {
        const auto next = std::next(entry);
        if (entry->first != number && entry->second.peer == hello_message.sender && !entry->second.outbound) {
            close_link(entry->first);
        }
        entry = next;
    }
    current_links_.insert_or_assign(hello_message.sender, number);
    options_.on_message(hello_message.sender, hello_message);
    return true;
}

void peer_transport::handle_close(const link_number number, const codec_reason reason) {
    if (reason == codec_reason::too_large) {
        options_.on_drop(drop_reason::frame_too_large);
    } else if (reason == codec_reason::out_of_memory) {
        options_.on_drop(drop_reason::out_of_memory);
    }
    const auto peer = links_.at(number).peer;
    if (remove_link(number)) {
        options_.on_lost(peer);
    }
}

bool peer_transport::remove_link(const link_number number) {
    const auto peer = links_.at(number).peer;
    close_link(number);
    const auto current = current_links_.find(peer);
    if (current == current_links_.end() || current->second != number) {
        return false;
    }
    current_links_.erase(current);
    for (const auto& [other, entry] : links_) {
        if (entry.peer == peer) {
            current_links_.insert_or_assign(peer, other);
            return false;
        }
    }
    return true;
}

void peer_transport::drop_link(const link_number number) {
    const auto peer = links_.at(number).peer;
    if (remove_link(number)) {
        loop_.defer([this, peer] { options_.on_lost(peer); });
    }
}

void peer_transport::close_link(const link_number number) {
    const auto found = links_.find(number);
    auto& closed = found->second;
    closed.connection->close();
    remove_sent_requests(closed);
    // A peer runs a request only after its last part has arrived.
    for (const auto& transfer : closed.outgoing) {
        if (transfer.is_request) {
            closed.unsent.push_back({.id = transfer.id});
        }
    }
    // The connection may be running one of its callbacks, and the core may be handling the event that replaces the
    // connection, so destroying it and calling the hook are deferred.
    loop_.defer([this, connection = std::shared_ptr<peer_connection>{std::move(closed.connection)},
                 unsent = std::move(closed.unsent)] {
        for (const auto& request : unsent) {
            options_.on_not_sent(request.id);
        }
    });
    links_.erase(found);
}

bool peer_transport::reclaim() {
    auto oldest = loop_.now().steady - min_stall;
    std::optional<link_number> found;
    for (const auto& [number, entry] : links_) {
        const auto holds_memory =
            entry.incoming.reserved_bytes() > 0 || entry.connection->incomplete_bytes() > link_memory;
        if (holds_memory && !entry.connection->reading() && entry.last_used <= oldest) {
            oldest = entry.last_used;
            found = number;
        }
    }
    if (found) {
        drop_link(*found);
    }
    return found.has_value();
}

void peer_transport::close_idle() {
    const auto oldest_allowed_use = loop_.now().steady - options_.idle_timeout;
    std::vector<link_number> idle;
    for (const auto& [number, entry] : links_) {
        if (entry.last_used < oldest_allowed_use) {
            idle.push_back(number);
        }
    }
    for (const auto number : idle) {
        // The hook of an earlier one may have closed this one.
        if (links_.contains(number)) {
            handle_close(number, codec_reason::none);
        }
    }
    idle_check_.schedule_after(idle_check_interval);
}

} // namespace goldcrestwell
