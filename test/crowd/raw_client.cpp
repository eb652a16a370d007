#include "crowd/raw_client.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <array>
#include <charconv>

namespace goldcrestwell::test {

namespace {

constexpr std::size_t max_received_bytes = 4'096;
constexpr std::size_t status_offset = std::string_view{"HTTP/1.1 "}.size();
constexpr std::size_t status_digits = 3;

} // namespace

void raw_client::handle_deleter::operator()(bufferevent* handle) const noexcept {
    bufferevent_free(handle);
}

raw_client::raw_client(event_loop& loop, const std::uint16_t port)
    : handle_{bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)} {
    const auto readable = [](bufferevent* /*unused*/, void* argument) {
        static_cast<raw_client*>(argument)->read();
    };
    const auto changed = [](bufferevent* /*unused*/, const short what, void* argument) {
        if ((what & BEV_EVENT_CONNECTED) == 0) {
            static_cast<raw_client*>(argument)->close();
        }
    };
    bufferevent_setcb(handle_.get(), readable, nullptr, changed, this);
    bufferevent_enable(handle_.get(), EV_READ | EV_WRITE);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_socket_connect(handle_.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

void raw_client::write(const std::string_view bytes) {
    if (handle_) {
        bufferevent_write(handle_.get(), bytes.data(), bytes.size());
    }
}

void raw_client::write_reference(const std::string_view bytes) {
    if (handle_) {
        evbuffer_add_reference(bufferevent_get_output(handle_.get()), bytes.data(), bytes.size(), nullptr, nullptr);
    }
}

void raw_client::stop_reading() {
    if (handle_) {
        bufferevent_disable(handle_.get(), EV_READ);
    }
}

std::size_t raw_client::unwritten_bytes() const {
    return handle_ ? evbuffer_get_length(bufferevent_get_output(handle_.get())) : 0;
}

unsigned raw_client::status() const {
    unsigned status{};
    if (received_.size() >= status_offset + status_digits) {
        std::from_chars(received_.data() + status_offset, received_.data() + status_offset + status_digits, status);
    }
    return status;
}

void raw_client::read() {
    std::array<char, 65'536> chunk{};
    for (auto size = bufferevent_read(handle_.get(), chunk.data(), chunk.size()); size > 0;
         size = bufferevent_read(handle_.get(), chunk.data(), chunk.size())) {
        received_.append(chunk.data(), size);
        received_.resize(std::min(received_.size(), max_received_bytes));
    }
}

} // namespace goldcrestwell::test
