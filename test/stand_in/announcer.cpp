#include "stand_in/announcer.hpp"

#include <event2/buffer.h>

#include <charconv>

namespace goldcrestwell::test {

namespace {

constexpr int timeout_s = 1;

struct pending_post {
    std::function<void()> done;
};

void on_response(evhttp_request*, void* argument) {
    const std::unique_ptr<pending_post> post{static_cast<pending_post*>(argument)};
    post->done();
}

} // namespace

void announcer::post(const char* path, const std::string& body, std::function<void()> done) {
    const auto colon = node_.find(':');
    std::uint16_t port{};
    if (colon != std::string::npos) {
        std::from_chars(node_.data() + colon + 1, node_.data() + node_.size(), port);
    }
    evhttp_connection* connection =
        evhttp_connection_base_new(service_.base(), nullptr, node_.substr(0, colon).c_str(), port);
    evhttp_connection_set_timeout(connection, timeout_s);
    evhttp_connection_free_on_completion(connection);
    evhttp_request* request = evhttp_request_new(on_response, new pending_post{std::move(done)});
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", node_.c_str());
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, path);
}

} // namespace goldcrestwell::test
