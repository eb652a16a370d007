#include "goldcrestwell/core/message/message_body.hpp"

#include <ostream>
#include <utility>

namespace goldcrestwell {

message_body::message_body(std::string bytes) {
    if (!bytes.empty()) {
        content_ = std::make_shared<const content>(content{.bytes = std::move(bytes), .memory = {}});
    }
}

message_body::message_body(std::string bytes, memory_reservation memory)
    : content_{std::make_shared<const content>(content{.bytes = std::move(bytes), .memory = std::move(memory)})} {}

const std::string& message_body::str() const noexcept {
    static const std::string no_bytes;
    return content_ ? content_->bytes : no_bytes;
}

std::ostream& operator<<(std::ostream& out, const message_body& body) {
    return out << body.str();
}

} // namespace goldcrestwell
