#include "goldcrestwell/shell/http_message_parser.hpp"

#include <boost/test/unit_test.hpp>

#include <string_view>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(parser_of_http_messages)

// Guards against a connection that is closed before the next answer begins and counts as one whose answer was cut:
// callers of the soak saw cut answers where a stopping node had closed a kept connection without reading the request.
BOOST_AUTO_TEST_CASE(nothing_of_a_message_is_left_when_it_was_taken) {
    constexpr std::string_view answer{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    http_message_parser parser{{.max_body_bytes = 100}};
    BOOST_TEST(parser.feed(answer) == answer.size());
    BOOST_TEST(parser.headers_complete());
    BOOST_REQUIRE(parser.take().has_value());
    BOOST_TEST(!parser.headers_complete());
    BOOST_TEST(!parser.inside());
    static_cast<void>(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"));
    BOOST_TEST(parser.headers_complete());
}

BOOST_AUTO_TEST_SUITE_END()
