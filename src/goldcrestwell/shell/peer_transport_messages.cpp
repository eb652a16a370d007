// Messages of a peer transport; peer_transport.cpp opens and closes connections.

#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/core/message/message_memory.hpp"
#include "goldcrestwell/shell/peer_transport.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

// Output up to this size is part of the memory of a connection.
constexpr std::size_t usual_output_bytes = 16'384;
// Parts of bodies are queued up to this size of the output, so that other messages overtake them.
constexpr std::size_t max_queued_part_bytes = 65'536;

} // namespace

bool peer_transport::reserve_output(link& target, const size_type bytes) {
    const auto needed = std::max(target.connection->unwritten_bytes() + bytes, usual_output_bytes);
    if (needed == target.memory.size()) {
        return true;
    }
    if (!target.memory.resize(needed, memory_use_of_body(needed))) {
        return false;
    }
    if (needed > usual_output_bytes) {
        target.connection->watch_output(true);
    }
    return true;
}

void peer_transport::send(const node_id to, const peer_message& message) {
    auto* found = find_link(to);
    auto& target = found != nullptr ? *found : open_link(to);
    const auto number = current_links_.at(to);
    target.last_used = loop_.now().steady;
    if (const auto* cancel = std::get_if<attempt_cancel>(&message)) {
        abort_transfer(target, cancel->id);
    }
    const auto* body = body_of(message);
    if (body != nullptr && body->size() > max_inline_body_bytes) {
        begin_transfer(number, target, message);
        return;
    }
    auto frame = encode(message);
    if (!reserve_output(target, frame.size())) {
        discard(number, message);
        return;
    }
    if (const auto* request = std::get_if<attempt_request>(&message)) {
        remove_sent_requests(target);
        target.unsent.push_back({.id = request->id, .begin = target.connection->queued_bytes()});
    }
    bytes_sent_ += frame.size();
    target.connection->send(std::move(frame));
}

void peer_transport::discard(const link_number number, const peer_message& message) {
    options_.on_drop(drop_reason::out_of_memory);
    if (const auto* request = std::get_if<attempt_request>(&message)) {
        loop_.defer([this, id = request->id] { options_.on_not_sent(id); });
    } else {
        // The peer asks for the result again once it has noticed the loss of the connection.
        drop_link(number);
    }
}

void peer_transport::begin_transfer(const link_number number, link& target, const peer_message& message) {
    auto head = message;
    const auto body = std::exchange(*body_of(head), {});
    auto frame = encode_transfer_begin(++last_transfer_, body.size(), encode(head));
    if (!reserve_output(target, frame.size())) {
        discard(number, message);
        return;
    }
    const auto* request = std::get_if<attempt_request>(&message);
    target.outgoing.push_back({.number = last_transfer_,
                               .id = request != nullptr ? request->id : std::get<attempt_reply>(message).id,
                               .is_request = request != nullptr,
                               .body = body});
    bytes_sent_ += frame.size();
    target.connection->send(std::move(frame));
    send_parts(target);
}

void peer_transport::send_parts(link& target) {
    while (!target.outgoing.empty() && target.connection->unwritten_bytes() < max_queued_part_bytes) {
        auto current = std::move(target.outgoing.front());
        target.outgoing.pop_front();
        const auto size = std::min(max_inline_body_bytes, current.body.size() - current.sent);
        const auto is_last = current.sent + size == current.body.size();
        if (is_last && current.is_request) {
            remove_sent_requests(target);
            target.unsent.push_back({.id = current.id, .begin = target.connection->queued_bytes()});
        }
        target.connection->send(encode_transfer_part_head(current.number), current.body, current.sent, size);
        bytes_sent_ += size;
        current.sent += size;
        if (!is_last) {
            target.outgoing.push_back(std::move(current));
        }
    }
    target.connection->watch_output(!target.outgoing.empty() || target.memory.size() > usual_output_bytes);
}

void peer_transport::handle_drained(const link_number number) {
    auto& target = links_.at(number);
    target.last_used = loop_.now().steady;
    static_cast<void>(reserve_output(target, 0));
    send_parts(target);
}

void peer_transport::abort_transfer(link& target, const attempt_id& id) {
    const auto found = std::ranges::find_if(
        target.outgoing, [&id](const outgoing_transfer& transfer) { return transfer.is_request && transfer.id == id; });
    if (found != target.outgoing.end()) {
        target.connection->send(encode_transfer_abort(found->number));
        target.outgoing.erase(found);
    }
}

// The event for an established connection arrives after the first bytes were written, so only the number of bytes left
// in the buffer shows which requests have not been sent.
void peer_transport::remove_sent_requests(link& target) {
    while (!target.unsent.empty() && target.unsent.front().begin < target.connection->flushed_bytes()) {
        target.unsent.pop_front();
    }
}

bool peer_transport::handle_frame(const link_number number, const std::string_view frame) {
    if (is_transfer_frame(frame)) {
        return handle_transfer(number, frame);
    }
    frame_decoder decoder;
    auto message = decoder.decode(frame);
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
    auto* body = body_of(*message);
    if (body != nullptr && options_.memory) {
        memory_reservation memory{options_.memory};
        if (!memory.resize(head_memory(*message) + body->size(), memory_use::small)) {
            *body = {};
            options_.on_oversized(source.peer, *message);
            return true;
        }
        *body = message_body{body->str(), std::move(memory)};
    }
    deliver(number, std::move(*message));
    return true;
}

bool peer_transport::handle_transfer(const link_number number, const std::string_view frame) {
    auto& source = links_.at(number);
    const auto decoded = decode_transfer_frame(frame);
    if (!source.peer || !decoded) {
        options_.on_drop(source.peer ? drop_reason::frame_unreadable : drop_reason::unknown_sender);
        return false;
    }
    source.last_used = loop_.now().steady;
    switch (source.incoming.add(*decoded)) {
    case transfer_state::incomplete:
        return true;
    case transfer_state::complete:
        deliver(number, source.incoming.take());
        return true;
    case transfer_state::refused:
        options_.on_oversized(source.peer, source.incoming.take());
        return true;
    case transfer_state::malformed:
        break;
    }
    options_.on_drop(drop_reason::frame_unreadable);
    return false;
}

void peer_transport::deliver(const link_number number, peer_message message) {
    auto& source = links_.at(number);
    // A result makes the rest of the request needless.
    if (const auto* reply = std::get_if<attempt_reply>(&message)) {
        abort_transfer(source, reply->id);
    } else if (const auto* status = std::get_if<attempt_status>(&message);
               status != nullptr && status->progress != attempt_progress::queued &&
               status->progress != attempt_progress::running) {
        abort_transfer(source, status->id);
    }
    options_.on_message(source.peer, message);
}

} // namespace goldcrestwell
