#include "goldcrestwell/codec/transfer_assembler.hpp"

#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/core/message/message_memory.hpp"

#include <numeric>
#include <utility>

namespace goldcrestwell {

namespace {

// A node has far fewer attempts in progress at one upstream.
constexpr std::size_t max_transfers = 4'096;
// Larger than any body that a caller may send; keeps sums of sizes from overflowing.
constexpr std::uint64_t max_transfer_bytes = std::uint64_t{1} << 40U;

template <typename Message>
auto find_body(Message& message) noexcept -> decltype(&std::get<attempt_request>(message).call.body) {
    if (auto* request = std::get_if<attempt_request>(&message)) {
        return &request->call.body;
    }
    auto* reply = std::get_if<attempt_reply>(&message);
    auto* response = reply != nullptr ? std::get_if<http_response>(&reply->result) : nullptr;
    return response != nullptr ? &response->body : nullptr;
}

} // namespace

message_body* body_of(peer_message& message) noexcept {
    return find_body(message);
}

const message_body* body_of(const peer_message& message) noexcept {
    return find_body(message);
}

std::size_t head_memory(const peer_message& message) noexcept {
    if (const auto* request = std::get_if<attempt_request>(&message)) {
        return head_memory(request->call.headers) + request->call.target.size();
    }
    const auto* reply = std::get_if<attempt_reply>(&message);
    const auto* response = reply != nullptr ? std::get_if<http_response>(&reply->result) : nullptr;
    return response != nullptr ? head_memory(response->headers) : 0;
}

transfer_assembler::transfer_assembler(std::shared_ptr<memory_budget> memory) noexcept : memory_{std::move(memory)} {}

transfer_state transfer_assembler::add(const transfer_frame& frame) {
    switch (frame.step) {
    case transfer_step::begin:
        return begin(frame);
    case transfer_step::part:
        return append(frame);
    case transfer_step::abort:
        transfers_.erase(frame.number);
        return transfer_state::incomplete;
    }
    return transfer_state::malformed;
}

transfer_state transfer_assembler::begin(const transfer_frame& frame) {
    frame_decoder decoder;
    auto message = decoder.decode(frame.payload);
    const auto is_valid = message && body_of(*message) != nullptr && frame.body_bytes > 0 &&
                          frame.body_bytes <= max_transfer_bytes && transfers_.size() < max_transfers;
    if (!is_valid || transfers_.contains(frame.number)) {
        return transfer_state::malformed;
    }
    memory_reservation memory{memory_};
    if (!memory.resize(head_memory(*message) + frame.body_bytes, memory_use_of_body(frame.body_bytes))) {
        message_ = std::move(*message);
        return transfer_state::refused;
    }
    auto& added = transfers_[frame.number];
    added.message = std::move(*message);
    added.body.reserve(frame.body_bytes);
    added.body_bytes = frame.body_bytes;
    added.memory = std::move(memory);
    return transfer_state::incomplete;
}

transfer_state transfer_assembler::append(const transfer_frame& frame) {
    const auto found = transfers_.find(frame.number);
    if (found == transfers_.end()) {
        return transfer_state::incomplete;
    }
    auto& current = found->second;
    if (frame.payload.size() > current.body_bytes - current.body.size()) {
        return transfer_state::malformed;
    }
    current.body.append(frame.payload);
    if (current.body.size() < current.body_bytes) {
        return transfer_state::incomplete;
    }
    message_ = std::move(current.message);
    *body_of(message_) = message_body{std::move(current.body), std::move(current.memory)};
    transfers_.erase(found);
    return transfer_state::complete;
}

transfer_assembler::size_type transfer_assembler::reserved_bytes() const noexcept {
    return std::accumulate(transfers_.begin(), transfers_.end(), size_type{},
                           [](const size_type sum, const auto& item) { return sum + item.second.memory.size(); });
}

} // namespace goldcrestwell
