#include "goldcrestwell/codec/document_packing.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(document_packing)

// Guards against documents that delay the calls on the same connection, and against documents that change in transit. A
// configuration of some hundred routes is sent to all nodes over links of 11 Mbit/s.
BOOST_AUTO_TEST_CASE(documents_are_compressed_without_loss) {
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

// Guards against invalid bytes that crash a node, exhaust its memory or are accepted as a document.
BOOST_AUTO_TEST_CASE(invalid_bytes_are_rejected) {
    const auto packed = pack_document("some text, some text, some text");
    BOOST_TEST(!unpack_document("").has_value());
    BOOST_TEST(!unpack_document("abcd").has_value());
    BOOST_TEST(!unpack_document(packed.substr(0, packed.size() - 1)).has_value());
    BOOST_TEST(!unpack_document("\x7F\x7F\x7F\x7F" + packed.substr(4)).has_value());
    auto with_wrong_length = packed;
    ++with_wrong_length[3];
    BOOST_TEST(!unpack_document(with_wrong_length).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
