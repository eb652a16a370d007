#include "goldcrestwell/core/membership/digest_hash.hpp"

#include "core/message/generators.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(digest_hashes)

// Guards against a field of the rollout state that is missing from the hash. Nodes that differ only in this field send
// equal digests, so anti-entropy never repairs the difference.
BOOST_AUTO_TEST_CASE(every_difference_of_rollout_states_changes_the_hash) {
    const rollout_key key{.row = {.route = {"/orders"}, .version = {"2"}}, .row_version = log_offset{1}};
    const auto hash = [&key](const rollout_state& state) {
        return digest_hash(rollout_update{.key = key, .state = state});
    };
    BOOST_TEST(rc::check("differs", [&hash](const rollout_state& a, const rollout_state& b) {
        RC_ASSERT((a == b) == (hash(a) == hash(b)));
        auto rechecked = a;
        ++rechecked.rechecks;
        RC_ASSERT(hash(a) != hash(rechecked));
        auto other_reason = a;
        other_reason.reason =
            a.reason == rollback_reason::latency ? rollback_reason::failures : rollback_reason::latency;
        RC_ASSERT(hash(a) != hash(other_reason));
    }));
}

BOOST_AUTO_TEST_SUITE_END()
