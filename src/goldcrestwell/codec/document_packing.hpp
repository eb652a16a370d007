#ifndef GOLDCRESTWELL_CODEC_DOCUMENT_PACKING_HPP
#define GOLDCRESTWELL_CODEC_DOCUMENT_PACKING_HPP

#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @return The text compressed for sending between nodes, preceded by its uncompressed length. */
[[nodiscard]] std::string pack_document(std::string_view text);

/** @return The text, or nothing if the bytes are invalid or their stated length exceeds `max_body_bytes`. */
[[nodiscard]] std::optional<std::string> unpack_document(std::string_view packed);

} // namespace goldcrestwell

#endif
