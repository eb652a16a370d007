// Responses of a faulty upstream, as its callers see them.

#include "goldcrestwell/shell/timer.hpp"
#include "platform/raw_upstream.hpp"
#include "platform/sidecar_cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::raw_upstream;
using test::sidecar_cluster;

namespace {

std::string head_of(const std::string& id, const std::string& framing) {
    return "HTTP/1.1 200 OK\r\nGoldcrestwell-Request-Id: " + id + "\r\nGoldcrestwell-Response-Signature: s\r\n" +
           framing + "\r\n";
}

std::string response_to(const std::string& id) {
    const auto body = "body of " + id;
    return head_of(id, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

std::string refusal_of(const std::string& id) {
    const auto id_line = id.empty() ? "" : "Goldcrestwell-Request-Id: " + id + "\r\n";
    return "HTTP/1.1 503 Service Unavailable\r\nGoldcrestwell-Not-Executed: 1\r\n" + id_line +
           "Content-Length: 0\r\n\r\n";
}

/** @brief One host whose upstream sends what a test sets. */
struct fixture {
    fixture() {
        cluster.write_config(3, "orders");
        BOOST_REQUIRE(cluster.announce(host) == 200U);
        BOOST_REQUIRE(cluster.wait_for([this] { return cluster.ready(host) == 200U; }));
        host.upstream.reset();
    }

    raw_upstream serve(raw_upstream::request_hook on_request) {
        return {cluster.loop, host.settings.upstream_address.port(), std::move(on_request)};
    }
    /** @brief Announces the upstream again, so that it does not expire during a long test. */
    void renew() { BOOST_REQUIRE(cluster.announce(host) == 200U); }
    http_response post(const std::string& id) { return cluster.call(host, "POST", "/pay/1", id).response; }

    sidecar_cluster cluster;
    sidecar_cluster::host& host{cluster.add_host("orders")};
};

void check_unknown_outcome(const http_response& response) {
    BOOST_TEST((response.status == 502U || response.status == 504U), "status " << response.status);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(faulty_responses, fixture)

// Guards against a second copy of a response that arrives when the connection is in use for the next request.
BOOST_AUTO_TEST_CASE(late_copy_is_not_given_to_the_next_caller) {
    const auto upstream = serve([](const std::string& id, const raw_upstream::connection& from) {
        from.write(id == "id-2" ? response_to("id-1") + response_to(id) : response_to(id));
    });
    BOOST_TEST(post("id-1").body == "body of id-1");
    const auto second = post("id-2");
    check_unknown_outcome(second);
    BOOST_TEST(second.body.str().find("id-1") == std::string::npos);
    BOOST_TEST(upstream.requests() == 2U);
    BOOST_TEST(post("id-3").body == "body of id-3");
    BOOST_TEST(post("id-4").body == "body of id-4");
}

// Guards against a second copy that arrives while the connection is idle.
BOOST_AUTO_TEST_CASE(copy_on_an_idle_connection_closes_it) {
    std::unique_ptr<timer> late;
    const auto upstream = serve([&](const std::string& id, const raw_upstream::connection& from) {
        from.write(response_to(id));
        if (id == "id-1") {
            late = std::make_unique<timer>(cluster.loop, [from](time_sample) { from.write(response_to("id-1")); });
            late->schedule_after(milliseconds{50});
        }
    });
    BOOST_TEST(post("id-1").body == "body of id-1");
    cluster.run_for(milliseconds{200});
    BOOST_TEST(upstream.open_connections() == 0U);
    BOOST_TEST(post("id-2").body == "body of id-2");
}

// Guards against a refusal without an id that the upstream sends once more in place of the response to the next
// request, which it runs: the caller would be told that its request has not run.
BOOST_AUTO_TEST_CASE(copy_of_a_refusal_without_id_does_not_refuse_the_next_request) {
    std::set<std::size_t> refused_on;
    const auto upstream = serve([&](const std::string& id, const raw_upstream::connection& from) {
        if (id == "id-1") {
            refused_on.insert(from.number());
            from.write(refusal_of(""));
        } else {
            from.write(refused_on.contains(from.number()) ? refusal_of("") : response_to(id));
        }
    });
    BOOST_TEST(post("id-1").status == 503U);
    BOOST_TEST(post("id-2").body == "body of id-2");
}

// Guards against a refusal that the upstream sends once more in place of the response to the next attempt of the same
// request, which it runs: the caller would be told that it has not run.
BOOST_AUTO_TEST_CASE(copy_of_a_refusal_does_not_refuse_the_next_attempt) {
    std::set<std::size_t> refused_on;
    std::size_t run_count = 0;
    const auto upstream = serve([&](const std::string& id, const raw_upstream::connection& from) {
        if (refused_on.empty()) {
            refused_on.insert(from.number());
            from.write(refusal_of(id));
            return;
        }
        ++run_count;
        from.write(refused_on.contains(from.number()) ? refusal_of(id) : response_to(id));
    });
    http_response response;
    // A node may leave it to the caller to try again.
    for (int attempt = 0; attempt < 3 && run_count == 0; ++attempt) {
        response = post("id-1");
    }
    BOOST_TEST(run_count == 1U);
    BOOST_TEST(response.body == "body of id-1");
}

// Guards against a response that breaks off and is forwarded as a success.
BOOST_AUTO_TEST_CASE(response_that_breaks_off_is_no_success) {
    const std::string half{"half of the body"};
    const auto upstream = serve([&half](const std::string& id, const raw_upstream::connection& from) {
        if (id == "length") {
            from.write_and_close(head_of(id, "Content-Length: 99\r\n") + half);
        } else if (id == "chunked") {
            from.write_and_close(head_of(id, "Transfer-Encoding: chunked\r\n") + "10\r\n" + half + "\r\n");
        } else if (id == "reset") {
            from.write_and_reset(head_of(id, "") + half);
        } else {
            from.write_and_close(head_of(id, "") + half);
        }
    });
    for (const auto* id : {"length", "chunked", "reset"}) {
        check_unknown_outcome(post(id));
    }
    BOOST_TEST(upstream.requests() == 3U);
    // Without a length, an orderly close ends the body.
    BOOST_TEST(post("close").body == half);
}

// Guards against an upstream that stops in the middle of the head of its response and closes the connection, and a
// caller that receives a success with an empty body.
BOOST_AUTO_TEST_CASE(response_that_ends_in_its_head_is_no_success) {
    std::string sent;
    const auto upstream =
        serve([&sent](const std::string&, const raw_upstream::connection& from) { from.write_and_close(sent); });
    const std::string interim{"HTTP/1.1 100 Continue\r\n\r\n"};
    for (const auto* framing :
         {"", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"}) {
        for (const auto& prefix : {std::string{}, interim}) {
            const auto head = prefix + head_of("id-1", framing);
            for (auto size = prefix.size() + 1; size < head.size(); ++size) {
                sent = head.substr(0, size);
                const auto response = post("id-1");
                BOOST_TEST_REQUIRE(response.status >= 500U, "status " << response.status << " after " << sent);
            }
        }
    }
}

// Guards against memory that grows, and a connection that stays open, while an upstream sends bytes without end.
BOOST_AUTO_TEST_CASE(bytes_without_end_close_the_connection) {
    const auto upstream = serve([](const std::string& id, const raw_upstream::connection& from) {
        const std::string line{"x: " + std::string(60'000, 'y') + "\r\n"};
        if (id == "head") {
            from.write("HTTP/1.1 200 OK\r\n");
            from.write_without_end(line);
        } else if (id == "interim") {
            from.write_without_end("HTTP/1.1 100 Continue\r\n\r\n");
        } else if (id == "body") {
            from.write(head_of(id, ""));
            from.write_without_end(line);
        } else if (id == "chunk") {
            from.write(head_of(id, "Transfer-Encoding: chunked\r\n") + "5");
            from.write_without_end(";" + std::string(60'000, 'y'));
        } else {
            from.write(response_to(id));
        }
    });
    for (const auto* id : {"head", "interim", "body", "chunk"}) {
        check_unknown_outcome(post(id));
        BOOST_TEST(cluster.wait_for([&upstream] { return upstream.open_connections() == 0; }), id);
    }
    BOOST_TEST(post("id-9").body == "body of id-9");
}

// Guards against a response without a length that is reset while the request is still being written. libevent then
// reports both the error of the write and the end of the stream.
BOOST_AUTO_TEST_CASE(response_reset_during_the_upload_is_no_success) {
    constexpr std::size_t upload_bytes = std::size_t{16} << 20U;
    cluster.write_config(4, "orders", "/read/", upload_bytes);
    std::unique_ptr<timer> reset;
    const auto upstream = serve([&](const std::string& id, const raw_upstream::connection& from) {
        from.stop_reading();
        from.write(head_of(id, "") + "half of the body");
        reset = std::make_unique<timer>(cluster.loop, [from](time_sample) { from.reset(); });
        reset->schedule_after(milliseconds{50});
    });
    const std::string body(upload_bytes, 'u');
    BOOST_REQUIRE(cluster.wait_for(
        [&] { return nlohmann::json::parse(cluster.status(host))["config_version"].get<std::uint64_t>() == 4U; }));
    for (int attempt = 0; attempt < 10; ++attempt) {
        renew();
        check_unknown_outcome(cluster.upload(host, "/pay/1", "id-" + std::to_string(attempt), body).response);
    }
    BOOST_TEST(upstream.requests() == 10U);
}

// Guards against a response whose status is no status of the protocol.
BOOST_AUTO_TEST_CASE(response_with_an_invalid_status_is_refused) {
    std::string status;
    const auto upstream = serve([&status](const std::string& id, const raw_upstream::connection& from) {
        const auto head = head_of(id, "Content-Length: 4\r\n");
        from.write("HTTP/1.1 " + status + head.substr(std::string_view{"HTTP/1.1 200"}.size()) + "body");
    });
    for (const auto* invalid :
         {"000", "001", "099", "20", "2", "0200", "2000", "600", "999", "2x0", "-20", "+200", ""}) {
        status = invalid;
        BOOST_TEST_CONTEXT("status " << status) {
            renew();
            BOOST_TEST(post("id-1").status == 502U);
        }
    }
    status = "200";
    BOOST_TEST(post("id-1").body == "body");
}

// Guards against a response in whose head a line is no field, and one whose body is encoded in a way that the node does
// not decode.
BOOST_AUTO_TEST_CASE(response_with_an_invalid_field_is_refused) {
    std::string line;
    const auto upstream = serve([&line](const std::string& id, const raw_upstream::connection& from) {
        const auto is_chunked = line.find("chunked") != std::string::npos;
        from.write(head_of(id, line + "\r\n" + (is_chunked ? "" : "Content-Length: 4\r\n")) +
                   (is_chunked ? "4\r\nbody\r\n0\r\n\r\n" : "body"));
    });
    using namespace std::string_literals;
    for (const auto& invalid : {"X Y: 1"s,
                                "X : 1"s,
                                " X: 1"s,
                                "\tX: 1"s,
                                "X\tY: 1"s,
                                "X\x01Y: 1"s,
                                "X\0Y: 1"s,
                                "\x0bX: 1"s,
                                "X\x7f: 1"s,
                                "X\xe9: 1"s,
                                "X\x0b: 1"s,
                                "Content-Length : 2"s,
                                "Content-Length\t: 2"s,
                                "X(Y): 1"s,
                                "X: 1\x01"s,
                                "X: \0"s,
                                "X: a\rb"s,
                                "X"s,
                                ": 1"s,
                                "Transfer-Encoding : chunked"s,
                                "Transfer-Encoding\x0b: chunked"s,
                                "Transfer-Encoding: gzip, chunked"s}) {
        line = invalid;
        BOOST_TEST_CONTEXT("line " << line) {
            renew();
            BOOST_TEST(post("id-1").status == 502U);
        }
    }
    line = "X-Valid!#$%&'*+.^_`|~: \t a b\xe9 \t";
    BOOST_TEST(post("id-1").body == "body");
}

// Guards against trailers that hold what a head must not hold.
BOOST_AUTO_TEST_CASE(response_with_an_invalid_trailer_is_refused) {
    std::string line;
    const auto upstream = serve([&line](const std::string& id, const raw_upstream::connection& from) {
        from.write(head_of(id, "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n" + line + "\r\n\r\n");
    });
    using namespace std::string_literals;
    for (const auto& invalid : {"X Y: 1"s, "X : 1"s, "X\x01Y: 1"s, "X\x7f: 1"s, "X\tY: 1"s, "X: 1\x01"s, "X"s}) {
        line = invalid;
        BOOST_TEST_CONTEXT("trailer " << line) {
            renew();
            BOOST_TEST(post("id-1").status == 502U);
        }
    }
    line = "X: 1";
    BOOST_TEST(post("id-1").body == "body");
}

BOOST_AUTO_TEST_SUITE_END()
