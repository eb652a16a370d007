#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/codec/frame_splitter.hpp"
#include "goldcrestwell/codec/transfer_assembler.hpp"
#include "goldcrestwell/core/common/memory_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <string>

using namespace goldcrestwell;

namespace {

const attempt_request request{
    .id = {.origin = node_id{1, 2}, .start_incarnation = incarnation{3}, .sequence = 4},
    .call = {.method = "POST", .target = "/", .headers = {}, .timeout = std::chrono::seconds{1}}};

transfer_state add(transfer_assembler& assembler, const std::string& frame) {
    const auto decoded = decode_transfer_frame(frame);
    return decoded ? assembler.add(*decoded) : transfer_state::malformed;
}

std::string begin(const std::uint64_t number, const std::uint64_t size) {
    return encode_transfer_begin(number, size, encode(peer_message{request}));
}

std::string part(const std::uint64_t number, const std::string& bytes) {
    return encode_transfer_part_head(number) + bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(transfers)

// Guards against bodies that are mixed up when their parts arrive in turn.
BOOST_AUTO_TEST_CASE(interleaved_messages_are_assembled) {
    transfer_assembler assembler;
    BOOST_TEST((add(assembler, begin(1, 6)) == transfer_state::incomplete));
    BOOST_TEST((add(assembler, begin(2, 4)) == transfer_state::incomplete));
    BOOST_TEST((add(assembler, part(1, "abc")) == transfer_state::incomplete));
    BOOST_TEST((add(assembler, part(2, "wxyz")) == transfer_state::complete));
    BOOST_TEST(std::get<attempt_request>(assembler.take()).call.body == "wxyz");
    BOOST_TEST((add(assembler, part(1, "def")) == transfer_state::complete));
    auto expected = request;
    expected.call.body = "abcdef";
    BOOST_TEST((std::get<attempt_request>(assembler.take()) == expected));
}

// Guards against parts of an aborted transfer that are taken for malformed input or for another body.
BOOST_AUTO_TEST_CASE(parts_of_an_aborted_transfer_are_ignored) {
    const auto budget = std::make_shared<memory_budget>(memory_budget_options{.capacity_bytes = 100'000});
    transfer_assembler assembler{budget};
    BOOST_TEST((add(assembler, begin(1, 6)) == transfer_state::incomplete));
    BOOST_TEST(budget->used() == assembler.reserved_bytes());
    BOOST_TEST(budget->used() > 6U);
    BOOST_TEST((add(assembler, encode_transfer_abort(1)) == transfer_state::incomplete));
    BOOST_TEST(budget->used() == 0U);
    BOOST_TEST((add(assembler, part(1, "abcdef")) == transfer_state::incomplete));
}

// Guards against a body that is reserved only while it arrives, when it is too late to refuse the request truthfully.
BOOST_AUTO_TEST_CASE(message_without_memory_is_refused_at_its_beginning) {
    const auto budget = std::make_shared<memory_budget>(memory_budget_options{.capacity_bytes = 100'000});
    transfer_assembler assembler{budget};
    BOOST_TEST((add(assembler, begin(1, 200'000)) == transfer_state::refused));
    BOOST_TEST((std::get<attempt_request>(assembler.take()) == request));
    BOOST_TEST((add(assembler, part(1, "abc")) == transfer_state::incomplete));
    BOOST_TEST(budget->used() == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_transfers_are_reported) {
    transfer_assembler assembler;
    BOOST_TEST((add(assembler, begin(1, 2)) == transfer_state::incomplete));
    BOOST_TEST((add(assembler, begin(1, 2)) == transfer_state::malformed));
    BOOST_TEST((add(assembler, part(1, "abc")) == transfer_state::malformed));
    BOOST_TEST((add(assembler, begin(2, 0)) == transfer_state::malformed));
    BOOST_TEST((add(assembler, begin(3, ~std::uint64_t{})) == transfer_state::malformed));
    BOOST_TEST(
        (add(assembler, encode_transfer_begin(4, 5, encode(peer_message{heartbeat{}}))) == transfer_state::malformed));
    BOOST_TEST((add(assembler, encode_transfer_begin(5, 5, "garbage")) == transfer_state::malformed));
}

// Guards against reads beyond a short frame, and against a message that is taken for a part of a transfer.
BOOST_AUTO_TEST_CASE(random_frames_are_decoded_or_rejected) {
    BOOST_TEST(!is_transfer_frame(encode(peer_message{request})));
    std::mt19937_64 random{7};
    transfer_assembler assembler;
    for (int round = 0; round < 20'000; ++round) {
        std::string frame{'\xC1'};
        for (auto size = random() % 24; size > 0; --size) {
            frame.push_back(static_cast<char>(random() % 4 == 0 ? random() : 0));
        }
        static_cast<void>(add(assembler, frame));
    }
    const auto whole = begin(1, 9);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        static_cast<void>(add(assembler, whole.substr(0, size)));
    }
}

// Guards against incomplete frames that fill the memory, and against a connection that keeps the size of its largest
// frame for ever.
BOOST_AUTO_TEST_CASE(large_frames_reserve_memory_while_they_arrive) {
    constexpr std::size_t frame_bytes = 100'000;
    const auto budget = std::make_shared<memory_budget>(memory_budget_options{.capacity_bytes = 150'000});
    frame_splitter first{max_frame_bytes, memory_reservation{budget}};
    first.append(frame_prefix(frame_bytes) + "begin");
    BOOST_TEST(!first.next().has_value());
    BOOST_TEST(budget->used() > frame_bytes);
    frame_splitter second{max_frame_bytes, memory_reservation{budget}};
    second.append(frame_prefix(frame_bytes) + "begin");
    BOOST_TEST(!second.next().has_value());
    BOOST_TEST((second.last_reason() == codec_reason::out_of_memory));
    first.append(std::string(frame_bytes - 5, 'f'));
    const auto frame = first.next();
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST(frame->size() == frame_bytes);
    first.append(frame_prefix(1) + "x");
    BOOST_TEST(budget->used() == 0U);
    BOOST_TEST(first.next().value_or("") == "x");
}

BOOST_AUTO_TEST_SUITE_END()
