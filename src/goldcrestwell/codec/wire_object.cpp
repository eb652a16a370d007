#include "goldcrestwell/codec/wire_object.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"

#include <new>

namespace goldcrestwell::internal {

namespace {

// Counts elements before memory is allocated. msgpack allocates an array's declared size at once, so a few bytes of
// input could otherwise allocate many megabytes.
class element_counter : public msgpack::null_visitor {
public:
    explicit element_counter(const std::size_t limit) noexcept : limit_{limit} {}

    bool start_array(const std::uint32_t count) { return enter(count); }
    bool end_array() { return leave(); }
    bool start_map(const std::uint32_t count) { return enter(std::size_t{2} * count); }
    bool end_map() { return leave(); }
    void parse_error(std::size_t /*parsed*/, std::size_t /*error*/) noexcept { reason_ = codec_reason::malformed; }
    void insufficient_bytes(std::size_t /*parsed*/, std::size_t /*error*/) noexcept {
        reason_ = codec_reason::truncated;
    }

    [[nodiscard]] codec_reason reason() const noexcept { return reason_; }

private:
    bool enter(const std::size_t count) noexcept {
        elements_ += count;
        ++depth_;
        if (elements_ > limit_ || depth_ > max_wire_depth) {
            reason_ = codec_reason::too_large;
            return false;
        }
        return true;
    }
    bool leave() noexcept {
        --depth_;
        return true;
    }

    std::size_t limit_;
    std::size_t elements_{};
    std::size_t depth_{};
    codec_reason reason_{codec_reason::malformed};
};

codec_reason check_elements(const std::string_view bytes) {
    element_counter counter{max_wire_objects};
    std::size_t used = 0;
    if (!msgpack::parse(bytes.data(), bytes.size(), used, counter)) {
        return counter.reason();
    }
    return used == bytes.size() ? codec_reason::none : codec_reason::malformed;
}

msgpack::object_handle unpack(const std::string_view bytes) {
    const msgpack::unpack_limit limits{max_wire_objects, max_wire_objects, bytes.size(),
                                       bytes.size(),     bytes.size(),     max_wire_depth};
    const auto refer_to_input = [](msgpack::type::object_type, std::size_t, void*) {
        return true;
    };
    return msgpack::unpack(bytes.data(), bytes.size(), refer_to_input, nullptr, limits);
}

} // namespace

std::optional<msgpack::object_handle> parse_object(const std::string_view bytes, const std::size_t limit,
                                                   codec_reason& reason) {
    if (bytes.size() > limit) {
        reason = codec_reason::too_large;
        return std::nullopt;
    }
    try {
        reason = check_elements(bytes);
        if (reason != codec_reason::none) {
            return std::nullopt;
        }
        return unpack(bytes);
    } catch (const msgpack::size_overflow&) {
        reason = codec_reason::too_large;
    } catch (const msgpack::unpack_error&) {
        reason = codec_reason::malformed;
    } catch (const std::bad_alloc&) {
        reason = codec_reason::too_large;
    }
    return std::nullopt;
}

} // namespace goldcrestwell::internal
