#ifndef GOLDCRESTWELL_CODEC_WIRE_OBJECT_HPP
#define GOLDCRESTWELL_CODEC_WIRE_OBJECT_HPP

#include "goldcrestwell/codec/codec_reason.hpp"

#include <msgpack.hpp>

#include <optional>
#include <string_view>

namespace goldcrestwell::internal {

/**
 * @brief Parses one msgpack value that fills the bytes; strings refer to the bytes, which must outlive the result.
 * @param limit Longest accepted input in bytes.
 * @param reason Receives the cause of a failure.
 */
[[nodiscard]] std::optional<msgpack::object_handle> parse_object(std::string_view bytes, std::size_t limit,
                                                                 codec_reason& reason);

} // namespace goldcrestwell::internal

#endif
