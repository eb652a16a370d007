#include "goldcrestwell/cli/settings_file.hpp"

#include "goldcrestwell/cli/file_text.hpp"
#include "goldcrestwell/codec/settings_reader.hpp"

#include <iostream>

namespace goldcrestwell {

std::optional<node_settings> load_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    settings_reader reader;
    auto settings = reader.read(*text);
    for (const auto& fault : reader.faults()) {
        std::cerr << path << ": " << to_string(fault) << '\n';
    }
    return settings;
}

} // namespace goldcrestwell
