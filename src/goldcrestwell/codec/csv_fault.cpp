#include "goldcrestwell/codec/csv_fault.hpp"

namespace goldcrestwell {

std::string to_string(const csv_fault& fault) {
    std::string text{fault.line == 0 ? "file" : "line "};
    if (fault.line != 0) {
        text += std::to_string(fault.line);
    }
    if (fault.column != 0) {
        text.append(", column ").append(std::to_string(fault.column));
    }
    if (!fault.header.empty()) {
        text.append(" (").append(fault.header).append(")");
    }
    return text.append(": ").append(to_string(fault.reason));
}

} // namespace goldcrestwell
