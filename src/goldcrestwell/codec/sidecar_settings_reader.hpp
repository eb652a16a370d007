#ifndef GOLDCRESTWELL_CODEC_SIDECAR_SETTINGS_READER_HPP
#define GOLDCRESTWELL_CODEC_SIDECAR_SETTINGS_READER_HPP

#include "goldcrestwell/codec/settings_reader.hpp"
#include "goldcrestwell/codec/sidecar_settings.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Reads the settings file of a sidecar: JSON with comments. */
class sidecar_settings_reader {
public:
    /** @return The settings, or nothing if the text has any faults; `faults` then returns all of them. Never throws. */
    [[nodiscard]] std::optional<sidecar_settings> read(std::string_view text);

    [[nodiscard]] const std::vector<settings_fault>& faults() const noexcept { return faults_; }

    /** @return Every key that the reader accepts. */
    [[nodiscard]] static std::vector<setting_description> descriptions();

private:
    std::vector<settings_fault> faults_;
};

} // namespace goldcrestwell

#endif
