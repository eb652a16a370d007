#include "goldcrestwell/cli/file_text.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

namespace goldcrestwell {

namespace {

std::optional<std::string> read_all(std::istream& input) {
    std::string text{std::istreambuf_iterator<char>{input}, {}};
    if (input.bad() || text.size() > max_file_bytes) {
        return std::nullopt;
    }
    return text;
}

} // namespace

std::optional<std::string> read_file(const std::string& path) {
    if (path == "-") {
        return read_all(std::cin);
    }
    std::ifstream input{path, std::ios::binary};
    return input ? read_all(input) : std::nullopt;
}

} // namespace goldcrestwell
