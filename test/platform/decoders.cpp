// Decoders of bytes that other programs wrote: one odd entry must cost that entry only.

#include "goldcrestwell/platform/announcement_codec.hpp"
#include "goldcrestwell/platform/directory_codec.hpp"
#include "goldcrestwell/platform/operator_codec.hpp"
#include "goldcrestwell/platform/store_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>
#include <string>

using namespace goldcrestwell;
using nlohmann::json;

namespace {

constexpr std::size_t million = 1'000'000;

json valid_announcement() {
    return {
        {"service", "orders"}, {"address", "10.0.0.1:80"}, {"zone", "a"},   {"version", "v1"},          {"slots", 4},
        {"state", "ready"},    {"cold_left_ms", 1.5},      {"sequence", 1}, {"born", 1'700'000'000'000}};
}

bool is_accepted(const std::string& key, const json& value) {
    auto document = valid_announcement();
    document[key] = value;
    return decode_announcement("u-1", document.dump()).has_value();
}

std::string nested(const std::string& prefix, const std::string& suffix) {
    return prefix + std::string(million, '[') + std::string(million, ']') + suffix;
}

json valid_config() {
    return {{"version", 3},
            {"routes",
             {{"r",
               {{"host", "a.example"},
                {"path_prefix", "/"},
                {"route_kind", "idempotent"},
                {"timeout_ms", 1'000},
                {"traffic_split", {{{"service", "a"}, {"weight", 3}}, {{"service", "b"}, {"weight", 1}}}}}}}},
            {"services", {{"a", json::object()}, {"b", json::object()}}}};
}

bool is_accepted(const json& config) {
    return decode_operator_record({.offset = log_offset{1}, .key = "config", .payload = config.dump()}).has_value();
}

std::string record(const std::string& body) {
    const auto size = body.size();
    return std::string{'\0', '\0', static_cast<char>(size >> 8U), static_cast<char>(size & 0xFFU)} + body;
}

json item(const std::string& key, const std::uint64_t offset) {
    return {{"key", key}, {"value", "aGVsbG8="}, {"offset", offset}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(bytes_from_other_writers)

BOOST_AUTO_TEST_CASE(announcement_with_number_out_of_range_is_rejected) {
    BOOST_REQUIRE(decode_announcement("u-1", valid_announcement().dump()).has_value());
    for (const auto& value : {json(1e300), json(-1), json(-1e300), json("1"), json(nullptr), json::array()}) {
        BOOST_TEST(!is_accepted("cold_left_ms", value), value.dump());
        BOOST_TEST(!is_accepted("slots", value), value.dump());
        BOOST_TEST(!is_accepted("sequence", value), value.dump());
        BOOST_TEST(!is_accepted("born", value), value.dump());
    }
    // Cut to 32 bits, this is a single slot.
    BOOST_TEST(!is_accepted("slots", (std::uint64_t{1} << 32U) + 1));
    BOOST_TEST(!is_accepted("born", std::uint64_t{1} << 63U));
}

BOOST_AUTO_TEST_CASE(announcement_with_port_out_of_range_is_rejected) {
    for (const auto* address : {"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:99999999999999999999",
                                "10.0.0.256:80", "10.0.0.1", "", "10.0.0.1:80x"}) {
        BOOST_TEST(!is_accepted("address", address), address);
    }
}

// Without the check of the depth, a million levels take tens of megabytes.
BOOST_AUTO_TEST_CASE(deeply_nested_text_is_rejected_before_parsing) {
    auto text = valid_announcement().dump();
    text.pop_back();
    BOOST_TEST(!decode_announcement("u-1", nested(text + ",\"x\":", "}")).has_value());
    BOOST_TEST(!decode_operator_record({.key = "config", .payload = nested("", "")}).has_value());
    BOOST_TEST(!decode_status({.key = "rollout/a", .payload = nested("", "")}).has_value());
    BOOST_TEST(!decode_newest_page(nested(R"({"end":1,"items":)", "}")).has_value());
    // Brackets in a string are no nesting.
    BOOST_TEST(is_accepted("zone", std::string(100, '[') + "\"\\"));
    BOOST_TEST(is_accepted("more", std::string(million, '[') + "\"\\"));
}

BOOST_AUTO_TEST_CASE(configuration_with_invalid_number_is_rejected) {
    BOOST_REQUIRE(is_accepted(valid_config()));
    for (const auto& value : {json(1e300), json(-1), json("1"), json(nullptr), json(std::uint64_t{1} << 32U)}) {
        for (const auto* key : {"priority", "max_attempts"}) {
            auto config = valid_config();
            config["routes"]["r"][key] = value;
            BOOST_TEST(!is_accepted(config), key << value.dump());
        }
        auto config = valid_config();
        config["routes"]["r"]["traffic_split"][0]["weight"] = value;
        BOOST_TEST(!is_accepted(config), "weight" << value.dump());
    }
    for (const auto& value : {json(1e300), json(-1), json("1")}) {
        auto config = valid_config();
        config["routes"]["r"]["timeout_ms"] = value;
        BOOST_TEST(!is_accepted(config), "timeout_ms" << value.dump());
        const json order{{"service", "a"}, {"target_version", "v2"}, {"ramp_s", value}};
        BOOST_TEST(!decode_operator_record({.key = "rollout/a", .payload = order.dump()}).has_value());
    }
}

BOOST_AUTO_TEST_CASE(traffic_split_needs_valid_weights) {
    auto config = valid_config();
    auto& split = config["routes"]["r"]["traffic_split"];
    split[0]["weight"] = 0;
    BOOST_TEST(is_accepted(config));
    split[1]["weight"] = 0;
    BOOST_TEST(!is_accepted(config));
    split[1].erase("weight");
    BOOST_TEST(!is_accepted(config));
}

// Guards against a node that repeats a read for ever, because one item of the page is odd.
BOOST_AUTO_TEST_CASE(odd_items_of_a_page_are_skipped) {
    auto odd_offset = item("f", 6);
    odd_offset["offset"] = 1e300;
    const json items{item("a", 1),
                     {{"key", "b"}, {"value", "not base64"}, {"offset", 2}},
                     {{"key", "c"}, {"value", "====aaaa"}, {"offset", 3}},
                     {{"key", "d"}, {"value", nullptr}, {"offset", 4}},
                     {{"key", 5}, {"value", "aGVsbG8="}, {"offset", 5}},
                     odd_offset,
                     nullptr,
                     item("z", 9)};
    const auto page = decode_newest_page(json{{"items", items}, {"more", true}, {"end", 10}}.dump());
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page->records.size() == 2U);
    BOOST_TEST(page->records[0].payload == "hello");
    BOOST_TEST(page->records[1].key == "z");
    BOOST_TEST(page->skipped == 6U);
    BOOST_TEST(page->next_after == "z");
}

// Guards against a page of odd items only, after which the next page is never read.
BOOST_AUTO_TEST_CASE(page_of_odd_items_has_a_successor) {
    const json items{{{"key", "a"}, {"value", 1}, {"offset", 0}}, {{"key", "b"}, {"value", 1}, {"offset", 1}}};
    const auto page = decode_newest_page(json{{"items", items}, {"more", true}, {"end", 2}}.dump());
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->records.empty());
    BOOST_TEST(page->next_after == "b");
}

BOOST_AUTO_TEST_CASE(odd_records_are_skipped_and_counted_as_positions) {
    const auto body = std::string(16, '\0') +
                      record("\x01"
                             "aone") +
                      record("") + record("\xFFtoo short") +
                      record("\x01"
                             "btwo");
    const auto page = decode_record_page(body, 7);
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page->records.size() == 2U);
    BOOST_TEST(page->records[1].key == "b");
    BOOST_TEST(page->records[1].payload == "two");
    BOOST_TEST(page->records[1].offset.value() == 11U);
    BOOST_TEST(page->end.value() == 11U);
    BOOST_TEST(page->skipped == 2U);
    BOOST_TEST(!decode_record_page(body.substr(0, body.size() - 1), 7).has_value());
}

// Guards against a record that stops a node from reading the directory, and against the departure of another node.
BOOST_AUTO_TEST_CASE(odd_records_of_the_directory_are_skipped) {
    constexpr node_id self{0x0A000001, 7000};
    constexpr node_id other{0x0A000002, 7000};
    const upstream_departure departure{.id = "u-1", .started = wall_time{std::chrono::milliseconds{1'700'000'000'000}}};
    const upstream_departure earlier{.id = "u-0", .started = wall_time{std::chrono::milliseconds{1'600'000'000'000}}};
    const auto own = encode_departures(self, {earlier, departure});
    const operator_record node{.key = to_string(other), .payload = "north"};
    const operator_record odd{.key = "10.0.0.1:70000", .payload = "north"};
    const auto page = decode_directory({own, node, odd, encode_departures(other, {{.id = "u-2"}})}, self);
    BOOST_TEST((page.departures == std::vector{earlier, departure}));
    BOOST_TEST((page.nodes == std::vector{other}));
    BOOST_TEST(page.skipped == 1U);
    const auto odd_payloads = {"",
                               "[]",
                               R"({"id":7,"started_ms":1})",
                               R"({"id":"","started_ms":1})",
                               R"({"id":"a/b","started_ms":1})",
                               R"({"id":"u-1"})",
                               R"({"id":"u-1","started_ms":-1})",
                               R"({"id":"u-1","started_ms":1e300})",
                               R"({"id":"u-1","started_ms":1,"earlier":[{"id":"u-0"}]})",
                               R"({"id":"u-1","started_ms":1,"earlier":"u-0"})"};
    for (const auto* payload : odd_payloads) {
        const auto odd_page = decode_directory({{.key = own.key, .payload = payload}}, self);
        BOOST_TEST(!odd_page.departures.has_value());
        BOOST_TEST(odd_page.skipped == 1U);
    }
}

// Guards against a record without departures that is taken for an unreadable one, and against the record of an earlier
// version of this program, which names one departure.
BOOST_AUTO_TEST_CASE(departures_of_no_and_of_an_earlier_record_are_known) {
    constexpr node_id self{0x0A000001, 7000};
    BOOST_TEST((decode_directory({}, self).departures == std::vector<upstream_departure>{}));
    const auto key = encode_departures(self, {{.id = "u-1"}}).key;
    const auto page = decode_directory({{.key = key, .payload = R"({"id":"u-1","started_ms":5})"}}, self);
    BOOST_TEST((page.departures ==
                std::vector{upstream_departure{.id = "u-1", .started = wall_time{std::chrono::milliseconds{5}}}}));
}

// Guards against an entry that names a node without its data centre, which only another writer leaves.
BOOST_AUTO_TEST_CASE(node_without_a_data_centre_is_skipped) {
    for (const auto* payload : {"", "\x01", "a\nb"}) {
        const auto page = decode_directory({{.key = "10.0.0.2:7000", .payload = payload}}, {0x0A000001, 7000});
        BOOST_TEST(page.nodes.empty(), payload);
        BOOST_TEST(page.skipped == 1U, payload);
    }
}

// Guards against a heartbeat of another writer that names an upstream: without a field, or with one of another type, it
// took the place of the upstream in use, or brought back one that had left (review/7, review/9).
BOOST_AUTO_TEST_CASE(announcement_needs_every_field_with_its_type) {
    const auto announcement = valid_announcement();
    for (const auto& [key, valid] : announcement.items()) {
        auto document = announcement;
        document.erase(key);
        BOOST_TEST(!decode_announcement("u-1", document.dump()).has_value(), key << " is missing");
        for (const auto& value : {json(nullptr), json(true), json::array(), json::object(), json({{"a", 1}}),
                                  valid.is_string() ? json(7) : json("7"), json(""), json(-1), json(1e300)}) {
            BOOST_TEST(!is_accepted(key, value), key << " is " << value.dump());
        }
    }
    BOOST_TEST(!is_accepted("slots", 0));
    BOOST_TEST(!is_accepted("born", 1.5));
    BOOST_TEST(!is_accepted("state", "starting"));
    for (const auto* key : {"service", "version", "zone"}) {
        BOOST_TEST(!is_accepted(key, "a\nb"), key);
        BOOST_TEST(!is_accepted(key, std::string(1'000, 'a')), key);
    }
    for (const auto* text : {"[]", "7", "null", "\"ready\"", "", "{", "\xFF"}) {
        BOOST_TEST(!decode_announcement("u-1", text).has_value(), text);
    }
}

// Guards against an id that changes the header or the path it is written to, or that no record can hold.
BOOST_AUTO_TEST_CASE(announcement_needs_a_valid_id) {
    const auto body = valid_announcement().dump();
    BOOST_TEST(decode_announcement("i-7f3a91c2", body).has_value());
    for (const auto& id : {std::string{}, std::string{"a/b"}, std::string{"a?b"}, std::string{"a b"},
                           std::string{"a\r\nb"}, std::string{"%41"}, std::string{"\xFF"}, std::string(1'000, 'a')}) {
        BOOST_TEST(!decode_announcement(id, body).has_value(), id);
    }
}

// Guards against a record of another writer that names a service which the operator has not defined.
BOOST_AUTO_TEST_CASE(operator_records_need_names_of_defined_services) {
    for (const auto& service : {json("c"), json(""), json(7), json(nullptr)}) {
        auto config = valid_config();
        config["routes"]["r"]["traffic_split"][0]["service"] = service;
        BOOST_TEST(!is_accepted(config), service.dump());
        config["routes"]["r"].erase("traffic_split");
        config["routes"]["r"]["service"] = service;
        BOOST_TEST(!is_accepted(config), service.dump());
        const json order{{"service", service}, {"target_version", "v2"}, {"ramp_s", 5}, {"state", "running"}};
        BOOST_TEST(!decode_operator_record({.key = "rollout/a", .payload = order.dump()}).has_value(), service.dump());
        BOOST_TEST(!decode_status({.key = "rollout/a", .payload = order.dump()}).has_value(), service.dump());
    }
    for (const auto* key : {"host", "path_prefix", "route_kind"}) {
        auto config = valid_config();
        config["routes"]["r"].erase(key);
        BOOST_TEST(!is_accepted(config), key);
        config["routes"]["r"][key] = 7;
        BOOST_TEST(!is_accepted(config), key);
    }
    for (const auto* key : {"service", "target_version", "ramp_s"}) {
        json order{{"service", "a"}, {"target_version", "v2"}, {"ramp_s", 5}, {"state", "running"}};
        BOOST_TEST(decode_operator_record({.key = "rollout/a", .payload = order.dump()}).has_value());
        BOOST_TEST(decode_status({.key = "rollout/a", .payload = order.dump()}).has_value());
        order.erase(key);
        BOOST_TEST(!decode_operator_record({.key = "rollout/a", .payload = order.dump()}).has_value(), key);
    }
}

// Random changes of valid texts; the sanitizers find what goes wrong.
BOOST_AUTO_TEST_CASE(changed_texts_are_survived) {
    const std::vector<std::string> texts{
        valid_announcement().dump(), valid_config().dump(),
        json{{"items", {item("a", 1), item("b", 2)}}, {"more", true}, {"end", 3}}.dump(),
        std::string(16, '\0') +
            record("\x01"
                   "aone") +
            record("\x01"
                   "btwo"),
        json{{"service", "a"}, {"target_version", "v2"}, {"ramp_s", 5}, {"state", "running"}}.dump()};
    const std::vector<std::string> pieces{"1e300", "-1", "null", "\"\"", "[", "{", "18446744073709551616", "\xFF", ","};
    std::mt19937_64 random{20261205};
    const auto below = [&random](const std::size_t end) {
        return std::uniform_int_distribution<std::size_t>{0, end - 1}(random);
    };
    for (int round = 0; round < 20'000; ++round) {
        auto text = texts[below(texts.size())];
        for (std::size_t change = 0; change < 1 + below(3); ++change) {
            const auto at = below(text.size());
            const auto& piece = pieces[below(pieces.size())];
            text.replace(at, std::min(below(8), text.size() - at), below(2) == 0 ? piece : std::string{});
            text += text.empty() ? "x" : "";
        }
        static_cast<void>(decode_announcement("u-1", text));
        static_cast<void>(decode_operator_record({.key = "config", .payload = text}));
        static_cast<void>(decode_operator_record({.key = "rollout/a", .payload = text}));
        static_cast<void>(decode_status({.key = "rollout/a", .payload = text}));
        static_cast<void>(decode_newest_page(text));
        static_cast<void>(decode_record_page(text, 3));
    }
}

// Guards against a header that is believed although it is no era, and against offsets of two histories that are equal.
BOOST_AUTO_TEST_CASE(era_of_the_store_is_part_of_each_offset) {
    for (const auto* text : {"", "x", "-1", "+1", " 1", "1 ", "1.5", "0x1", "4294967296", "99999999999999999999"}) {
        BOOST_TEST(!decode_era(text).has_value(), "'" << text << "'");
    }
    BOOST_TEST((decode_era("4294967295") == store_era{4'294'967'295U}));
    const json document{{"items", {item("config", 7)}}, {"end", 8}};
    const auto before = decode_newest_page(document.dump(), store_era{1});
    const auto after = decode_newest_page(document.dump(), store_era{2});
    BOOST_REQUIRE((before.has_value() && after.has_value()));
    BOOST_TEST((before->records.front().offset < after->records.front().offset));
    BOOST_TEST((before->records.front().offset == before->end));
    const auto page = decode_record_page(std::string(16, '\0') + record("\1ab"), 7, store_era{2});
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST((page->records.front().offset == after->records.front().offset));
}

// Guards against a number of a record that overflows into the era of its offset.
BOOST_AUTO_TEST_CASE(record_number_beyond_its_part_of_an_offset_is_not_decoded) {
    const json document{{"items", {item("config", 4'294'967'295U)}}, {"end", 8}};
    const auto page = decode_newest_page(document.dump(), store_era{1});
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->records.empty());
    BOOST_TEST(page->skipped == 1U);
    const json long_topic{{"items", json::array()}, {"end", 4'294'967'296U}};
    BOOST_TEST(!decode_newest_page(long_topic.dump(), store_era{1}).has_value());
    BOOST_TEST(!decode_record_page(std::string(16, '\0') + record("\1ab"), 4'294'967'295U, store_era{1}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
