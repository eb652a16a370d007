#include "goldcrestwell/codec/settings_document.hpp"

#include "goldcrestwell/codec/settings_walker.hpp"

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace goldcrestwell::internal {

namespace {

// Finds duplicate keys. The parser keeps only the last value of a key, so an earlier one would be ignored silently.
class duplicate_finder {
public:
    explicit duplicate_finder(std::vector<settings_fault>& faults) : faults_{faults} {}

    bool operator()(int /*depth*/, const nlohmann::json::parse_event_t event, const nlohmann::json& parsed) {
        if (event == nlohmann::json::parse_event_t::object_start) {
            open_objects_.emplace_back();
        } else if (event == nlohmann::json::parse_event_t::object_end) {
            open_objects_.pop_back();
        } else if (event == nlohmann::json::parse_event_t::key) {
            add_key(parsed.get_ref<const std::string&>());
        }
        return true;
    }

private:
    struct open_object {
        std::set<std::string> keys;
        std::string last_key;
    };

    void add_key(const std::string& key) {
        open_objects_.back().last_key = key;
        if (!open_objects_.back().keys.insert(key).second) {
            faults_.push_back({.key = path(), .reason = settings_reason::duplicate_key, .expected = ""});
        }
    }
    [[nodiscard]] std::string path() const {
        std::string key_path;
        for (const auto& object : open_objects_) {
            key_path.append(key_path.empty() ? "" : ".").append(object.last_key);
        }
        return key_path;
    }

    std::vector<settings_fault>& faults_;
    std::vector<open_object> open_objects_;
};

} // namespace

std::vector<settings_fault> walk_document(const std::string_view text,
                                          const std::function<void(settings_walker&)>& visit) {
    std::vector<settings_fault> faults;
    try {
        const auto document = nlohmann::json::parse(text, duplicate_finder{faults}, true, true);
        if (!document.is_object()) {
            faults.push_back({.key = "", .reason = settings_reason::wrong_type, .expected = "object"});
            return faults;
        }
        settings_walker walker{document};
        visit(walker);
        walker.report_unknown();
        faults.insert(faults.end(), walker.faults().begin(), walker.faults().end());
    } catch (const nlohmann::json::parse_error& error) {
        faults.push_back({.key = "",
                          .reason = settings_reason::not_json,
                          .expected = "valid JSON up to byte " + std::to_string(error.byte)});
    } catch (const nlohmann::json::exception&) {
        faults.push_back({.key = "", .reason = settings_reason::not_json, .expected = "valid JSON"});
    }
    return faults;
}

} // namespace goldcrestwell::internal
