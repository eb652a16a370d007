#include "goldcrestwell/codec/document_packing.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(packing_of_documents)

// Load: a configuration of some hundred routes sent to all nodes over links of 11 Mbit/s. Guards against documents that
// hold up the calls on the same connections, and against one that changes on its way.
BOOST_AUTO_TEST_CASE(documents_are_whole_and_small) {
    std::string document;
    for (int route = 0; route < 800; ++route) {
        document += R"("route-)" + std::to_string(route) +
                    R"(":{"host":"shop.example","path_prefix":"/a/","route_kind":"idempotent","timeout_ms":1500},)";
    }
    const auto packed = pack_document(document);
    BOOST_TEST(packed.size() * 5 < document.size());
    BOOST_TEST(unpack_document(packed).value_or("") == document);
    BOOST_TEST(unpack_document(pack_document("")).value_or("?").empty());
}

// Guards against bytes of another writer that crash a node, fill its memory or pass as a document.
BOOST_AUTO_TEST_CASE(other_bytes_are_refused) {
    const auto packed = pack_document("some text, some text, some text");
    BOOST_TEST(!unpack_document("").has_value());
    BOOST_TEST(!unpack_document("abcd").has_value());
    BOOST_TEST(!unpack_document(packed.substr(0, packed.size() - 1)).has_value());
    BOOST_TEST(!unpack_document("\x7F\x7F\x7F\x7F" + packed.substr(4)).has_value());
    auto longer = packed;
    ++longer[3];
    BOOST_TEST(!unpack_document(longer).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
