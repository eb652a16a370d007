#include "goldcrestwell/shell/http_message_parser.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(http_message_parsing)

// Guards against reporting a connection that closes before the next response begins as a truncated response. In the
// soak test callers saw truncated responses when a draining node closed a keep-alive connection without reading the
// request.
BOOST_AUTO_TEST_CASE(take_resets_the_parser_state) {
    constexpr std::string_view response_bytes{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    http_message_parser parser{{.max_body_bytes = 100}};
    BOOST_TEST(parser.feed(response_bytes) == response_bytes.size());
    BOOST_TEST(parser.headers_complete());
    BOOST_REQUIRE(parser.take().has_value());
    BOOST_TEST(!parser.headers_complete());
    BOOST_TEST(!parser.inside());
    static_cast<void>(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"));
    BOOST_TEST(parser.headers_complete());
}

// Guards against a peer that sends bytes without end: memory stays bounded and the message becomes invalid.
BOOST_AUTO_TEST_CASE(bytes_without_end_are_a_fault) {
    const std::string head{"HTTP/1.1 200 OK\r\n"};
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct endless_message {
        std::string start;
        std::string repeated;
    };
    const endless_message responses[]{{"HTTP/1.1 200 ", "O"},
                                      {head + "x: ", "y"},
                                      {head, "a: b\r\n"},
                                      {head, "a"},
                                      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
                                      {"", "\r\n"},
                                      {chunked + "5", ";a"},
                                      {chunked + "0\r\n", "a: b\r\n"},
                                      {chunked, "5\r\nhello\r\n"},
                                      {chunked, "1;" + std::string(100, 'e') + "\r\nc\r\n"},
                                      {head + "\r\n", "hello"},
                                      {head + "Content-Length: 99999999\r\n\r\n", "hello"}};
    constexpr std::size_t max_header_bytes = 1'000;
    constexpr std::size_t max_body_bytes = 5'000;
    const auto bytes_until_fault = [](const bool requests, const endless_message& message) {
        http_message_parser parser{
            {.requests = requests, .max_header_bytes = max_header_bytes, .max_body_bytes = max_body_bytes}};
        static_cast<void>(parser.feed(message.start));
        std::size_t bytes = 0;
        while (parser.fault() == http_parser_fault::none && bytes < 1'000'000) {
            bytes += message.repeated.size();
            static_cast<void>(parser.feed(message.repeated));
        }
        return bytes;
    };
    for (const auto& message : responses) {
        BOOST_TEST(bytes_until_fault(false, message) <= 3 * max_body_bytes, message.start << message.repeated);
    }
    const std::string post{"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"};
    const endless_message requests[]{{"GET /", "a"},
                                     {"GET / HTTP/1.1\r\n", "a: b\r\n"},
                                     {"", "\r\n"},
                                     {post + "5", ";a"},
                                     {post + "0\r\n", "a: b\r\n"},
                                     {post, "5\r\nhello\r\n"},
                                     {post, "1;" + std::string(100, 'e') + "\r\nc\r\n"}};
    for (const auto& message : requests) {
        BOOST_TEST(bytes_until_fault(true, message) <= 3 * max_body_bytes, message.start << message.repeated);
    }
}

// Guards against a limit that rejects a valid message: many short headers and a body of many short chunks.
BOOST_AUTO_TEST_CASE(message_within_the_limits_is_complete) {
    http_message_parser parser{{.max_header_bytes = 1'000, .max_body_bytes = 100'000}};
    std::string text{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"};
    for (int i = 0; i < 400; ++i) {
        text += "a:b\r\n";
    }
    text += "\r\n";
    for (int i = 0; i < 50'000; ++i) {
        text += "1\r\nx\r\n";
    }
    text += "0\r\n\r\n";
    for (const char byte : text) {
        static_cast<void>(parser.feed({&byte, 1}));
    }
    const auto message = parser.take();
    BOOST_REQUIRE(message.has_value());
    BOOST_TEST(message->body.size() == 50'000U);
}

BOOST_AUTO_TEST_SUITE_END()
