#include "goldcrestwell/codec/codec_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, codec_reason_count> names{"none",         "truncated",       "malformed",
                                                                 "wrong_type",   "unknown_version", "unknown_kind",
                                                                 "out_of_range", "too_large",       "out_of_memory"};

} // namespace

std::string_view to_string(const codec_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
