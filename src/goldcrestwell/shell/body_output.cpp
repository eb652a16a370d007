#include "goldcrestwell/shell/body_output.hpp"

#include <event2/buffer.h>

#include <memory>

namespace goldcrestwell {

void append_body(evbuffer* output, const message_body& body, const std::size_t offset, const std::size_t size) {
    if (size == 0) {
        return;
    }
    auto holder = std::make_unique<message_body>(body);
    const auto release = [](const void* /*unused*/, size_t /*unused*/, void* argument) {
        const std::unique_ptr<message_body> held{static_cast<message_body*>(argument)};
    };
    if (evbuffer_add_reference(output, body.str().data() + offset, size, release, holder.get()) == 0) {
        static_cast<void>(holder.release());
    }
}

void append_body(evbuffer* output, const message_body& body) {
    append_body(output, body, 0, body.size());
}

} // namespace goldcrestwell
