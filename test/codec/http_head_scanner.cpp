#include "goldcrestwell/codec/http_head_scanner.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace goldcrestwell;
using namespace std::string_literals;

namespace {

/** @brief Feeds a head byte by byte; returns whether it is complete and valid. */
bool accepts(const http_head_kind kind, const std::string& head) {
    http_head_scanner scanner{kind};
    for (const char byte : head) {
        if (scanner.feed({&byte, 1}) != 1 || !scanner.valid()) {
            return false;
        }
    }
    http_head_scanner whole{kind};
    BOOST_TEST(whole.feed(head + "body") == head.size());
    return scanner.complete();
}

bool accepts_response(const std::string& head) {
    return accepts(http_head_kind::response, head);
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_heads)

BOOST_AUTO_TEST_CASE(valid_heads_are_complete) {
    BOOST_TEST(accepts_response("HTTP/1.1 200 OK\r\n\r\n"));
    BOOST_TEST(accepts_response("HTTP/1.1 200\r\n\r\n"));
    BOOST_TEST(accepts_response("HTTP/1.0 599 \r\nA: \r\nb:c\r\n\r\n"));
    BOOST_TEST(accepts_response("HTTP/1.1 100 Continue\nA: b\n\n"));
    BOOST_TEST(accepts_response("HTTP/1.1 404 N\xC3\xA4h\t!\r\nA: \xC3\xA4 : b\tc\r\n\r\n"));
    BOOST_TEST(accepts(http_head_kind::request, "GET /a?b HTTP/1.1\r\nHost: a\r\n\r\n"));
    BOOST_TEST(accepts(http_head_kind::request, "\r\n\r\nGET / HTTP/1.1\r\n\r\n"));
}

// Guards against heads that a parser understands in another way than their sender.
BOOST_AUTO_TEST_CASE(invalid_heads_are_rejected) {
    for (const auto& line :
         {"HTTP/1.1 000 OK"s, "HTTP/1.1 099 OK"s, "HTTP/1.1 600 OK"s, "HTTP/1.1 20 OK"s, "HTTP/1.1 0200 OK"s,
          "HTTP/1.1 2000 OK"s, "HTTP/1.1  200 OK"s, "HTTP/1.1 200\tOK"s, "HTTP/2.0 200 OK"s, "HTTP/1.11 200 OK"s,
          "http/1.1 200 OK"s, "ICY 200 OK"s, " HTTP/1.1 200 OK"s, "HTTP/1.1 200 O\x01K"s, "HTTP/1.1 200 O\x7fK"s,
          "HTTP/1.1 200 O\0K"s, ""s}) {
        BOOST_TEST(!accepts_response(line + "\r\n\r\n"), line);
    }
    for (const auto& line : {"A B: c"s, "A : c"s, " A: c"s, "\tA: c"s, "A\x01: c"s, "A\x7f: c"s, "\xC3\xA4: c"s, "A"s,
                             ": c"s, "A: c\x01"s, "A: c\0"s, "A: b\rc"s, "A(b): c"s, "A: b\r\n c"s}) {
        BOOST_TEST(!accepts_response("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n"), line);
        BOOST_TEST(!accepts(http_head_kind::request, "GET / HTTP/1.1\r\n" + line + "\r\n\r\n"), line);
    }
    BOOST_TEST(!accepts(http_head_kind::request, "GET /\x01 HTTP/1.1\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(scanner_can_be_reset_for_the_next_head) {
    http_head_scanner scanner{http_head_kind::response};
    BOOST_TEST(scanner.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP") == 25U);
    BOOST_TEST(scanner.complete());
    scanner.reset();
    BOOST_TEST(scanner.feed("HTTP/1.1 200 OK\r\n\r\n") == 19U);
    BOOST_TEST(scanner.complete());
}

BOOST_AUTO_TEST_SUITE_END()
