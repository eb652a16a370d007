#include "goldcrestwell/shell/peer_transport.hpp"

#include "goldcrestwell/codec/frame_codec.hpp"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::chrono::seconds idle_check_interval{10};
constexpr int listen_backlog = 1024;

sockaddr_in listen_address(const node_id self) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(self.address());
    address.sin_port = htons(self.port());
    return address;
}

} // namespace

void peer_transport::listener_deleter::operator()(evconnlistener* handle) const noexcept {
    evconnlistener_free(handle);
}

peer_transport::peer_transport(event_loop& loop, peer_transport_options options)
    : loop_{loop}, options_{std::move(options)}, idle_check_{loop, [this](time_sample) {
                                                                 close_idle();
                                                             }} {}

peer_transport::~peer_transport() = default;

bool peer_transport::start() {
    auto address = listen_address(options_.self);
    const auto accepted = [](evconnlistener* /*unused*/, evutil_socket_t descriptor, sockaddr* /*unused*/,
                             int /*unused*/, void* argument) {
        static_cast<peer_transport*>(argument)->accept(descriptor);
    };
    listener_.reset(evconnlistener_new_bind(loop_.base(), accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                            listen_backlog, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    idle_check_.schedule_after(idle_check_interval);
    return listener_ != nullptr;
}

void peer_transport::send(const node_id to, const peer_message& message) {
    auto* found = find_link(to);
    auto& target = found != nullptr ? *found : open_link(to);
    const auto body = encode(message);
    if (const auto* request = std::get_if<attempt_request>(&message)) {
        remove_sent_requests(target);
        target.unsent.push_back({.id = request->id, .begin = target.connection->queued_bytes()});
    }
    target.last_used = loop_.now().steady;
    target.connection->send(body);
    bytes_sent_ += body.size();
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
    if (links_.size() >= options_.max_connections) {
        evutil_closesocket(descriptor);
        options_.on_drop(drop_reason::connection_refused);
        return;
    }
    const auto number = ++last_number_;
    links_.emplace(number,
                   link{.last_used = loop_.now().steady,
                        .connection = std::make_unique<peer_connection>(loop_, descriptor, make_hooks(number))});
}

peer_transport::link& peer_transport::open_link(const node_id peer) {
    const auto number = ++last_number_;
    auto& opened = links_
                       .emplace(number, link{.peer = peer,
                                             .outbound = true,
                                             .last_used = loop_.now().steady,
                                             .connection = std::make_unique<peer_connection>(loop_, to_endpoint(peer),
                                                                                             make_hooks(number))})
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

peer_connection_hooks peer_transport::make_hooks(const link_number number) {
    return {.on_frame = [this, number](const std::string_view body) { return handle_frame(number, body); },
            .on_closed =
                [this, number](const codec_reason reason) {
                    handle_close(number, reason);
                }};
}

bool peer_transport::handle_frame(const link_number number, const std::string_view body) {
    frame_decoder decoder;
    const auto message = decoder.decode(body);
    if (!message) {
        options_.on_drop(drop_reason::frame_unreadable);
        return false;
    }
    auto& source = links_.at(number);
    source.last_used = loop_.now().steady;
    if (const auto* hello_message = std::get_if<hello>(&*message)) {
        return handle_hello(number, *hello_message);
    }
    if (!source.peer) {
        options_.on_drop(drop_reason::unknown_sender);
        return false;
    }
    options_.on_message(source.peer, *message);
    return true;
}

bool peer_transport::handle_hello(const link_number number, const hello& hello_message) {
    auto& source = links_.at(number);
    if (source.outbound || source.peer || !hello_message.sender || hello_message.sender == options_.self) {
        options_.on_drop(drop_reason::unknown_sender);
        return false;
    }
    source.peer = hello_message.sender;
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

// The event for an established connection arrives after the first bytes were written, so only the number of bytes left
// in the buffer shows which requests have not been sent.
void peer_transport::remove_sent_requests(link& target) {
    while (!target.unsent.empty() && target.unsent.front().begin < target.connection->flushed_bytes()) {
        target.unsent.pop_front();
    }
}

void peer_transport::handle_close(const link_number number, const codec_reason reason) {
    if (reason == codec_reason::too_large) {
        options_.on_drop(drop_reason::frame_too_large);
    }
    const auto peer = links_.at(number).peer;
    close_link(number);
    const auto current = current_links_.find(peer);
    if (current == current_links_.end() || current->second != number) {
        return;
    }
    current_links_.erase(current);
    for (const auto& [other, entry] : links_) {
        if (entry.peer == peer) {
            current_links_.insert_or_assign(peer, other);
            return;
        }
    }
    options_.on_lost(peer);
}

void peer_transport::close_link(const link_number number) {
    const auto found = links_.find(number);
    found->second.connection->close();
    remove_sent_requests(found->second);
    // The connection may be running one of its callbacks, and the core may be handling the event that replaces the
    // connection, so destroying it and calling the hook are deferred.
    loop_.defer([this, connection = std::shared_ptr<peer_connection>{std::move(found->second.connection)},
                 unsent = std::move(found->second.unsent)] {
        for (const auto& request : unsent) {
            options_.on_not_sent(request.id);
        }
    });
    links_.erase(found);
}

void peer_transport::close_idle() {
    const auto oldest_allowed_use = loop_.now().steady - options_.idle_timeout;
    for (auto entry = links_.begin(); entry != links_.end();) {
        const auto next = std::next(entry);
        if (entry->second.last_used < oldest_allowed_use) {
            handle_close(entry->first, codec_reason::none);
        }
        entry = next;
    }
    idle_check_.schedule_after(idle_check_interval);
}

} // namespace goldcrestwell
