#include "goldcrestwell/core/routing/route_table.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(route_table_suite)

// Guards against routing a call by a shorter prefix, or by a prefix that ends within a path segment.
BOOST_AUTO_TEST_CASE(longest_prefix_of_whole_segments_matches) {
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

// Guards against a root route that hides longer routes or does not match some paths.
BOOST_AUTO_TEST_CASE(root_route_matches_paths_without_a_longer_route) {
    const route_table table{{{.route = {"/"}, .service = {"all"}}, {.route = {"/a"}, .service = {"a"}}}};
    BOOST_TEST(table.find("/")->service.value == "all");
    BOOST_TEST(table.find("/b/c")->service.value == "all");
    BOOST_TEST(table.find("/a/c")->service.value == "a");
}

BOOST_AUTO_TEST_SUITE_END()
