#include "goldcrestwell/shell/http_message_parser.hpp"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()
