#include "goldcrestwell/core/routing/route_table.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(route_table_suite)

// Guards against a call that goes to the service of a shorter or a merely similar prefix.
BOOST_AUTO_TEST_CASE(longest_prefix_on_segment_boundary) {
    const route_table table{{{.route = {"/orders"}, .service = {"desk"}},
                             {.route = {"/orders/proofs"}, .service = {"proofs"}},
                             {.route = {"/catalogue/"}, .service = {"catalogue"}}}};
    const auto name = [&table](const std::string_view path) {
        const auto found = table.match(path);
        return found ? found->value : std::string{};
    };
    BOOST_TEST(name("/orders") == "/orders");
    BOOST_TEST(name("/orders/17") == "/orders");
    BOOST_TEST(name("/orders/proofs/3?x=/orders") == "/orders/proofs");
    BOOST_TEST(name("/orders/proofsheet") == "/orders");
    BOOST_TEST(name("/ordersheet").empty());
    BOOST_TEST(name("/catalogue?page=2") == "/catalogue/");
    BOOST_TEST(name("orders").empty());
    BOOST_TEST(name("").empty());
    BOOST_TEST(name("/" + std::string(100'000, 'x')).empty());
}

// Guards against a root route that hides longer ones or misses paths.
BOOST_AUTO_TEST_CASE(root_route_takes_the_rest) {
    const route_table table{{{.route = {"/"}, .service = {"all"}}, {.route = {"/a"}, .service = {"a"}}}};
    BOOST_TEST(table.find("/")->service.value == "all");
    BOOST_TEST(table.find("/b/c")->service.value == "all");
    BOOST_TEST(table.find("/a/c")->service.value == "a");
}

BOOST_AUTO_TEST_SUITE_END()
