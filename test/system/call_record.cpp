#include "system/call_record.hpp"

#include "goldcrestwell/shell/call_mapping.hpp"
#include "goldcrestwell/shell/http_headers.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <ostream>

namespace goldcrestwell::test {

namespace {

constexpr std::uint32_t status_ok = 200;

nlohmann::json parsed(const std::string& body) {
    return nlohmann::json::parse(body, nullptr, false);
}

std::string text_field(const std::string& body, const char* name) {
    const auto document = parsed(body);
    return document.is_object() ? document.value(name, std::string{}) : std::string{};
}

} // namespace

call_ending call_record::ending() const {
    if (result.outcome == upstream_outcome::not_sent) {
        return call_ending::unreachable;
    }
    if (result.outcome != upstream_outcome::answered) {
        return call_ending::cut;
    }
    if (const auto outcome = find_header(result.response.headers, outcome_header)) {
        return *outcome == "not-run" ? call_ending::not_run : call_ending::unknown;
    }
    if (text_field(result.response.body.str(), "request_id") != id) {
        return call_ending::wrong_answer;
    }
    return result.response.status == status_ok ? call_ending::answered : call_ending::upstream_error;
}

std::string call_record::reason() const {
    return std::string{find_header(result.response.headers, reason_header).value_or("")};
}

std::string call_record::version() const {
    return text_field(result.response.body.str(), "version");
}

std::ostream& operator<<(std::ostream& out, const call_ending ending) {
    constexpr std::array<const char*, 7> names{"answered",    "wrong_answer", "upstream_error", "not_run", "unknown",
                                               "unreachable", "cut"};
    return out << names.at(static_cast<std::size_t>(ending));
}

std::ostream& operator<<(std::ostream& out, const call_record& record) {
    return out << record.id << " at port " << record.port << ": " << record.ending() << ' ' << record.reason()
               << " status " << record.result.response.status << " after " << record.duration.count() << " ms";
}

} // namespace goldcrestwell::test
