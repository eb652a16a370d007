#ifndef GOLDCRESTWELL_CODEC_SETTINGS_DOCUMENT_HPP
#define GOLDCRESTWELL_CODEC_SETTINGS_DOCUMENT_HPP

#include "goldcrestwell/codec/settings_reader.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace goldcrestwell::internal {

class settings_walker;

/**
 * @brief Parses a settings file, JSON with comments, and visits its keys.
 * @return All faults: duplicate keys first, then faults of the visited keys, then unknown keys.
 */
[[nodiscard]] std::vector<settings_fault> walk_document(std::string_view text,
                                                        const std::function<void(settings_walker&)>& visit);

} // namespace goldcrestwell::internal

#endif
