#include "goldcrestwell/core/routing/route_config_index.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(route_config_index_suite)

// Guards against matching a request with a route of another host or with a shorter prefix.
BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_matches) {
    const route_config_index index{{{.name = {"all"}, .host = "a", .prefix = "/"},
                                    {.name = {"x"}, .host = "a", .prefix = "/x/"},
                                    {.name = {"xy"}, .host = "a", .prefix = "/x/y/"},
                                    {.name = {"other"}, .host = "b", .prefix = "/x/"}}};
    BOOST_TEST(index.find("a", "/x/y/z?q=/w/")->name.value == "xy");
    BOOST_TEST(index.find("a", "/x/yy")->name.value == "x");
    BOOST_TEST(index.find("a", "/x")->name.value == "all");
    BOOST_TEST(index.find("b", "/x/y/z")->name.value == "other");
    BOOST_TEST((index.find("b", "/y/") == nullptr));
    BOOST_TEST((index.find("c", "/x/") == nullptr));
    BOOST_TEST(index.find(route_name{"xy"})->prefix == "/x/y/");
}

BOOST_AUTO_TEST_SUITE_END()
