#include "goldcrestwell/cli/settings_file.hpp"

#include "goldcrestwell/cli/file_text.hpp"
#include "goldcrestwell/codec/settings_reader.hpp"
#include "goldcrestwell/codec/sidecar_settings_reader.hpp"

#include <iostream>

namespace goldcrestwell {

namespace {

template <typename Reader>
auto load(const std::string& path) -> decltype(Reader{}.read("")) {
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    Reader reader;
    auto settings = reader.read(*text);
    for (const auto& fault : reader.faults()) {
        std::cerr << path << ": " << to_string(fault) << '\n';
    }
    return settings;
}

} // namespace

std::optional<node_settings> load_settings(const std::string& path) {
    return load<settings_reader>(path);
}

std::optional<sidecar_settings> load_sidecar_settings(const std::string& path) {
    return load<sidecar_settings_reader>(path);
}

} // namespace goldcrestwell
