#include "codec/random_message.hpp"
#include "goldcrestwell/codec/datagram_codec.hpp"
#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/codec/frame_splitter.hpp"
#include "goldcrestwell/codec/log_batch_codec.hpp"
#include "goldcrestwell/codec/record_codec.hpp"
#include "goldcrestwell/codec/settings_reader.hpp"
#include "goldcrestwell/codec/table_csv.hpp"

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include <charconv>
#include <cstdlib>

using namespace goldcrestwell;

namespace {

struct seed_range {
    std::uint64_t first{1};
    std::uint64_t last{3000};
};

// The environment variable GOLDCRESTWELL_SEEDS=first:last replaces the default range, which CI uses.
seed_range seeds() {
    seed_range range;
    if (const char* text = std::getenv("GOLDCRESTWELL_SEEDS")) {
        const std::string_view range_text{text};
        const auto colon = range_text.find(':');
        BOOST_REQUIRE(colon != std::string_view::npos);
        std::from_chars(range_text.data(), range_text.data() + colon, range.first);
        std::from_chars(range_text.data() + colon + 1, range_text.data() + range_text.size(), range.last);
    }
    return range;
}

// Changes, removes, truncates or duplicates a few bytes; often writes bytes that start a msgpack value.
std::string mutate(std::string bytes, test::random_message& source) {
    constexpr std::string_view type_bytes{"\x00\x7F\x80\x8F\x90\x9F\xC0\xC1\xC4\xC6\xCF\xD9\xDB\xDC\xDD\xDF\xFF", 17};
    for (std::uint64_t remaining = 1 + source.number(3); remaining > 0 && !bytes.empty(); --remaining) {
        const auto position = source.number(bytes.size() - 1);
        switch (source.number(4)) {
        case 0:
            bytes[position] = static_cast<char>(source.number(255));
            break;
        case 1:
            bytes[position] = type_bytes[source.number(type_bytes.size() - 1)];
            break;
        case 2:
            bytes.resize(position);
            break;
        case 3:
            bytes.insert(position, bytes.substr(source.number(bytes.size() - 1), source.number(16)));
            break;
        default:
            bytes.erase(position, 1 + source.number(3));
            break;
        }
    }
    return bytes;
}

std::string log_response(test::random_message& source) {
    msgpack::sbuffer buffer;
    msgpack::packer packer{buffer};
    packer.pack_map(4);
    packer.pack(std::string_view{"first_retained"}).pack_uint64(1);
    packer.pack(std::string_view{"head"}).pack_uint64(9);
    packer.pack(std::string_view{"through"}).pack_uint64(3);
    packer.pack(std::string_view{"records"}).pack_array(3);
    for (std::uint64_t offset = 1; offset <= 3; ++offset) {
        const auto record = encode(test::random_log_record(source, source.number(2)));
        packer.pack_array(2).pack_uint64(offset).pack_bin(static_cast<std::uint32_t>(record.size()));
        packer.pack_bin_body(record.data(), static_cast<std::uint32_t>(record.size()));
    }
    return {buffer.data(), buffer.size()};
}

// An accepted value must survive encoding and decoding unchanged, and a rejection must have a reason.
template <typename Decoder, typename Value>
void check_decoder(const std::string& bytes, const std::optional<Value>& value, const Decoder& decoder) {
    BOOST_REQUIRE((decoder.last_reason() == codec_reason::none) == value.has_value());
    BOOST_REQUIRE(!value || bytes.size() <= max_frame_bytes);
    if (value) {
        Decoder second_decoder;
        BOOST_REQUIRE((second_decoder.decode(encode(*value)) == value));
    }
}

template <typename Case>
void for_each_seed(Case run_case) {
    const auto range = seeds();
    for (std::uint64_t seed = range.first; seed <= range.last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            test::random_message source{seed};
            run_case(source, seed);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(fuzz)

// Guards against frames of a peer that crash a node or are accepted with a field out of range.
BOOST_AUTO_TEST_CASE(frames) {
    for_each_seed([](test::random_message& source, const std::uint64_t seed) {
        const auto message = test::random_peer_message(source, seed % std::variant_size_v<peer_message>);
        const auto bytes = mutate(encode(message), source);
        frame_decoder decoder;
        check_decoder(bytes, decoder.decode(bytes), decoder);
    });
}

// Guards against datagrams that crash a node; any host on the network can send them.
BOOST_AUTO_TEST_CASE(datagrams) {
    for_each_seed([](test::random_message& source, const std::uint64_t) {
        const auto bytes = mutate(encode(source.make<datagram>()), source);
        datagram_decoder decoder;
        check_decoder(bytes, decoder.decode(bytes), decoder);
    });
}

// Guards against a log record that crashes all nodes, since every node reads it.
BOOST_AUTO_TEST_CASE(records) {
    for_each_seed([](test::random_message& source, const std::uint64_t seed) {
        const auto bytes = mutate(encode(test::random_log_record(source, seed % 3)), source);
        record_decoder decoder;
        check_decoder(bytes, decoder.decode(bytes), decoder);
    });
}

// Guards against an invalid log response that sets a node to a wrong log position.
BOOST_AUTO_TEST_CASE(log_responses) {
    for_each_seed([](test::random_message& source, const std::uint64_t) {
        const auto bytes = mutate(log_response(source), source);
        log_batch_decoder decoder;
        const auto batch = decoder.decode(bytes, log_offset{0});
        BOOST_REQUIRE((decoder.last_reason() == codec_reason::none) == batch.has_value());
        BOOST_REQUIRE(!batch || internal::is_valid(*batch));
    });
}

// Guards against length prefixes that make the splitter return or buffer more bytes than it received.
BOOST_AUTO_TEST_CASE(frame_streams) {
    for_each_seed([](test::random_message& source, const std::uint64_t seed) {
        const auto body = encode(test::random_peer_message(source, seed % std::variant_size_v<peer_message>));
        const auto stream = mutate(frame_prefix(body.size()) + body + frame_prefix(body.size()) + body, source);
        frame_splitter splitter{1000};
        splitter.append(stream);
        std::size_t consumed_bytes = 0;
        while (const auto frame = splitter.next()) {
            consumed_bytes += frame->size() + frame_prefix(0).size();
        }
        BOOST_REQUIRE(consumed_bytes + splitter.pending() <= stream.size());
    });
}

// Guards against an operator's file that crashes the tool or is rejected without a reason.
BOOST_AUTO_TEST_CASE(tables) {
    table_line line{.key = {.route = {"/a"}, .version = {"v,1"}},
                    .row_version = log_offset{3},
                    .values = {.service = {"s\"x"}, .weight = 5},
                    .state = row_state::done,
                    .share = share{10},
                    .reason = "x y"};
    for_each_seed([&line](test::random_message& source, const std::uint64_t) {
        const auto text = mutate(encode(std::vector{line, line}), source);
        csv_decoder decoder;
        BOOST_REQUIRE(decoder.decode(text).has_value() == decoder.faults().empty());
    });
}

// Guards against a settings file that crashes the node or is rejected without a reason.
BOOST_AUTO_TEST_CASE(settings_files) {
    const std::string text = R"({"host": "10.0.0.1", "peer_port": 7400, "data_centre": "a", "region": "r", /* c */
        "seeds": ["10.0.0.2:7400"], "caller_listener": {"port": 8080}, "admin_listener": {"port": 8081},
        "platform_log": {"address": "10.0.0.5:9000"}, "moves": {"dwell_ms": 1000}})";
    for_each_seed([&text](test::random_message& source, const std::uint64_t) {
        settings_reader reader;
        const auto settings = reader.read(mutate(text, source));
        BOOST_REQUIRE(settings.has_value() == reader.faults().empty());
    });
}

// Guards against a few bytes that declare huge arrays or deep nesting and make a node allocate memory for them.
BOOST_AUTO_TEST_CASE(declared_sizes_cause_no_allocation) {
    frame_decoder decoder;
    BOOST_TEST(!decoder.decode(std::string("\xDD\xFF\xFF\xFF\xFF", 5)).has_value());
    BOOST_TEST((decoder.last_reason() == codec_reason::too_large));
    BOOST_TEST(!decoder.decode(std::string("\xDD\x00\x01\x00\x00\x01", 6)).has_value());
    BOOST_TEST((decoder.last_reason() == codec_reason::truncated));
    BOOST_TEST(!decoder.decode(std::string(1000, '\x91')).has_value());
    BOOST_TEST((decoder.last_reason() == codec_reason::too_large));
    BOOST_TEST(!decoder.decode(std::string("\x93\x01\x04\xC6\xFF\xFF\xFF\xFF", 8)).has_value());
    BOOST_TEST((decoder.last_reason() == codec_reason::truncated));
    BOOST_TEST(!decoder.decode(std::string(max_frame_bytes + 1, '\x01')).has_value());
    BOOST_TEST((decoder.last_reason() == codec_reason::too_large));
}

// Guards against rejections whose reason misleads an operator.
BOOST_AUTO_TEST_CASE(reasons_match_the_cause) {
    struct bad_frame {
        std::string_view bytes;
        codec_reason reason;
    };
    const bad_frame cases[] = {
        {{}, codec_reason::truncated},
        {{"\xC1", 1}, codec_reason::malformed},
        {{"\x01", 1}, codec_reason::wrong_type},
        {{"\x90", 1}, codec_reason::truncated},
        {{"\x92\x02\x01", 3}, codec_reason::unknown_version},
        {{"\x92\x01\x7F", 3}, codec_reason::unknown_kind},
        {{"\x92\x01\x01\x00", 4}, codec_reason::malformed},
        {{"\x93\x01\x01\x00", 4}, codec_reason::malformed},
        {{"\x93\x01\x08\xFF", 4}, codec_reason::wrong_type},
        {{"\x94\x01\x00\x00\x05", 5}, codec_reason::out_of_range},
    };
    for (const auto& bad : cases) {
        frame_decoder decoder;
        BOOST_TEST(!decoder.decode(bad.bytes).has_value());
        BOOST_TEST(to_string(decoder.last_reason()) == to_string(bad.reason));
    }
}

// Guards against a batch that claims to cover records which the log no longer retains, and against dropping a record
// that cannot be decoded.
BOOST_AUTO_TEST_CASE(log_responses_keep_offsets_and_unreadable_records) {
    const std::string_view response{"\x84\xAE"
                                    "first_retained\x05\xA4"
                                    "head\x09\xA7"
                                    "through\x06\xA7"
                                    "records"
                                    "\x92\x92\x05\xC4\x01x\x92\x06\xC4\x00",
                                    50};
    log_batch_decoder decoder;
    const auto batch = decoder.decode(response, log_offset{2});
    BOOST_REQUIRE_MESSAGE(batch.has_value(), to_string(decoder.last_reason()));
    BOOST_TEST(batch->after.value() == 4U);
    BOOST_TEST(batch->through.value() == 6U);
    BOOST_TEST(batch->head.value() == 9U);
    BOOST_REQUIRE(batch->records.size() == 2U);
    BOOST_TEST(std::holds_alternative<unreadable_record>(batch->records[0].record));
    BOOST_TEST(!decoder.decode(response, log_offset{7}).has_value());
    BOOST_TEST((decoder.last_reason() == codec_reason::out_of_range));
}

BOOST_AUTO_TEST_SUITE_END()
