#ifndef GOLDCRESTWELL_CODEC_TRANSFER_ASSEMBLER_HPP
#define GOLDCRESTWELL_CODEC_TRANSFER_ASSEMBLER_HPP

#include "goldcrestwell/codec/transfer_frame.hpp"
#include "goldcrestwell/core/common/memory_reservation.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace goldcrestwell {

/** @brief Result of the last frame of a `transfer_assembler`. */
enum class transfer_state : std::uint8_t {
    incomplete, /**< More frames are needed, or the frame belongs to an ended transfer. */
    complete,   /**< The message is complete. */
    refused,    /**< There is no memory for the message; it is without its body. */
    malformed   /**< The stream is unusable. */
};

/** @brief Assembles the messages that a peer sends in parts over one connection. */
class transfer_assembler {
public:
    using size_type = std::size_t;

    /** @param memory Budget for the messages; if null, their size is not limited. */
    explicit transfer_assembler(std::shared_ptr<memory_budget> memory = {}) noexcept;

    transfer_state add(const transfer_frame& frame);
    /** @brief Returns the message of the last frame if it is `complete` or `refused`. */
    [[nodiscard]] peer_message take() { return std::move(message_); }
    /** @brief Returns the number of bytes reserved for incomplete messages. */
    [[nodiscard]] size_type reserved_bytes() const noexcept;

private:
    struct transfer {
        peer_message message;
        std::string body;
        std::uint64_t body_bytes{};
        memory_reservation memory;
    };

    transfer_state begin(const transfer_frame& frame);
    transfer_state append(const transfer_frame& frame);

    std::shared_ptr<memory_budget> memory_;
    std::map<std::uint64_t, transfer> transfers_;
    peer_message message_;
};

/** @return The body of a message that may be sent in parts, or null if the message has none. */
[[nodiscard]] message_body* body_of(peer_message& message) noexcept;
[[nodiscard]] const message_body* body_of(const peer_message& message) noexcept;

/** @return Bytes that a message with a body takes, apart from the body. */
[[nodiscard]] std::size_t head_memory(const peer_message& message) noexcept;

} // namespace goldcrestwell

#endif
