#include "goldcrestwell/core/config/store_history.hpp"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

using namespace goldcrestwell;

namespace {

using era_pair = std::pair<std::uint32_t, std::uint32_t>;

struct fixture {
    std::vector<era_pair> replaced;
    std::vector<era_pair> stale;
    store_history history{
        {.replaced = [this](const store_era previous,
                            const store_era current) { replaced.emplace_back(previous.value(), current.value()); },
         .stale_response =
             [this](const store_era era, const store_era current) {
                 stale.emplace_back(era.value(), current.value());
             }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(history_of_the_store)

// Guards against a return of the store that is reported twice, or by a node that has just started.
BOOST_AUTO_TEST_CASE(each_replacement_is_reported_once) {
    fixture node;
    for (const std::uint32_t era : {4, 4, 5, 5, 7}) {
        BOOST_TEST((node.history.on_response(store_era{era}) == store_era{era}));
    }
    BOOST_TEST((node.replaced == std::vector<era_pair>{{4, 5}, {5, 7}}));
    BOOST_TEST(node.history.replacements() == 2U);
}

// Guards against a response that is held up on the way and takes effect after the store has returned from a copy.
BOOST_AUTO_TEST_CASE(response_of_an_earlier_history_is_stale) {
    fixture node;
    static_cast<void>(node.history.on_response(store_era{5}));
    BOOST_TEST(!node.history.on_response(store_era{4}).has_value());
    BOOST_TEST((node.history.era() == store_era{5}));
    BOOST_TEST((node.stale == std::vector<era_pair>{{4, 5}}));
    BOOST_TEST(node.replaced.empty());
}

// Guards against a response without an era that is taken for one of another history.
BOOST_AUTO_TEST_CASE(response_without_an_era_belongs_to_the_known_history) {
    fixture node;
    BOOST_TEST((node.history.on_response(std::nullopt) == store_era{}));
    BOOST_TEST(node.history.responses_without_era() == 0U);
    static_cast<void>(node.history.on_response(store_era{5}));
    BOOST_TEST((node.history.on_response(std::nullopt) == store_era{5}));
    BOOST_TEST(node.history.responses_without_era() == 1U);
    BOOST_TEST(node.replaced.empty());
}

// Guards against a first return that is not reported if the store counts its histories from zero.
BOOST_AUTO_TEST_CASE(return_from_the_history_with_era_zero_is_reported) {
    fixture node;
    static_cast<void>(node.history.on_response(store_era{}));
    static_cast<void>(node.history.on_response(store_era{1}));
    BOOST_TEST((node.replaced == std::vector<era_pair>{{0, 1}}));
}

// Guards against a node that the store refuses and that calls it again after each message of a peer in a later history.
BOOST_AUTO_TEST_CASE(later_history_of_a_peer_is_reported_once) {
    fixture node;
    BOOST_TEST(!node.history.on_peer_era(store_era{3}));
    static_cast<void>(node.history.on_response(store_era{3}));
    BOOST_TEST(!node.history.on_peer_era(store_era{3}));
    BOOST_TEST(node.history.on_peer_era(store_era{4}));
    BOOST_TEST(!node.history.on_peer_era(store_era{4}));
    BOOST_TEST(node.history.on_peer_era(store_era{5}));
    static_cast<void>(node.history.on_response(store_era{6}));
    BOOST_TEST(!node.history.on_peer_era(store_era{6}));
}

BOOST_AUTO_TEST_SUITE_END()
