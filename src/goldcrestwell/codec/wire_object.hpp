#ifndef GOLDCRESTWELL_CODEC_WIRE_OBJECT_HPP
#define GOLDCRESTWELL_CODEC_WIRE_OBJECT_HPP

#include "goldcrestwell/codec/codec_reason.hpp"

#include <msgpack.hpp>

#include <optional>
#include <string_view>

namespace goldcrestwell::internal {

/**
 * @brief Parses bytes that hold exactly one msgpack value. Strings refer to the bytes, which must outlive the result.
 * @param limit Maximum size of the input in bytes.
 * @param reason Receives the reason of a failure.
 */
[[nodiscard]] std::optional<msgpack::object_handle> parse_object(std::string_view bytes, std::size_t limit,
                                                                 codec_reason& reason);

} // namespace goldcrestwell::internal

#endif
