#ifndef GOLDCRESTWELL_CODEC_SETTINGS_READER_HPP
#define GOLDCRESTWELL_CODEC_SETTINGS_READER_HPP

#include "goldcrestwell/codec/node_settings.hpp"
#include "goldcrestwell/codec/settings_reason.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief One fault of a settings file. */
struct settings_fault {
    /** @brief Path of the key, such as `calls.max_hops`; empty if the fault concerns the whole file. */
    std::string key;
    settings_reason reason{settings_reason::none};
    /** @brief Accepted values, or the position in the file for `not_json`. */
    std::string expected;

    [[nodiscard]] friend bool operator==(const settings_fault&, const settings_fault&) = default;
};

/** @return One line for operators: key, reason and accepted values. */
[[nodiscard]] std::string to_string(const settings_fault& fault);

/** @brief Description of one accepted setting, as listed in `docs/settings.md`. */
struct setting_description {
    std::string key;
    std::string unit;
    /** @brief Default value; empty if the key is required. */
    std::string fallback;
    std::string range;
};

/** @brief Reads a settings file: JSON with comments. */
class settings_reader {
public:
    /** @return The settings, or nothing if the text has any faults; `faults` then returns all of them. Never throws. */
    [[nodiscard]] std::optional<node_settings> read(std::string_view text);

    /**
     * @return All faults of the last text: duplicate keys first, then faults in the order of the descriptions, then
     * unknown keys.
     */
    [[nodiscard]] const std::vector<settings_fault>& faults() const noexcept { return faults_; }

    /** @return The reason of the first fault, `none` after a success. */
    [[nodiscard]] settings_reason last_reason() const noexcept {
        return faults_.empty() ? settings_reason::none : faults_.front().reason;
    }

    /** @return Every key that the reader accepts. */
    [[nodiscard]] static std::vector<setting_description> descriptions();

private:
    std::vector<settings_fault> faults_;
};

} // namespace goldcrestwell

#endif
