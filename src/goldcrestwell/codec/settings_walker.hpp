#ifndef GOLDCRESTWELL_CODEC_SETTINGS_WALKER_HPP
#define GOLDCRESTWELL_CODEC_SETTINGS_WALKER_HPP

#include "goldcrestwell/codec/settings_reader.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <concepts>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Whether a key may be absent. */
enum class presence : std::uint8_t { optional, required };

/**
 * @brief Visits the settings one by one: describes each key, and takes its value from a document.
 *
 * One list of keys serves both purposes, so that the description cannot differ from what is read.
 */
class settings_walker {
public:
    explicit settings_walker(const nlohmann::json& document) : document_{document} {}

    /** @brief Starts a group of keys; an empty name means the top level. */
    void enter(std::string_view group);

    template <std::unsigned_integral Integer>
    void number(const std::string_view key, const std::string_view unit, const std::uint64_t low,
                const std::uint64_t high, Integer& to, const presence needed = presence::optional) {
        const auto fallback = std::to_string(to);
        if (const auto value = take_number(key, unit, low, high, fallback, needed)) {
            to = static_cast<Integer>(*value);
        }
    }
    /** @brief A duration; the key ends with its unit, `_ms` or `_s`. */
    template <typename Rep, typename Period>
    void duration(const std::string_view key, const std::chrono::duration<Rep, Period> low,
                  const std::type_identity_t<std::chrono::duration<Rep, Period>> high,
                  std::type_identity_t<std::chrono::duration<Rep, Period>>& to) {
        constexpr std::string_view unit = std::is_same_v<Period, std::milli> ? "ms" : "s";
        const auto count = [](const auto value) {
            return static_cast<std::uint64_t>(value.count());
        };
        if (const auto value =
                take_number(key, unit, count(low), count(high), std::to_string(to.count()), presence::optional)) {
            to = std::chrono::duration<Rep, Period>{static_cast<Rep>(*value)};
        }
    }
    void name(std::string_view key, std::string& to, presence needed);
    void text(std::string_view key, std::string& to);
    void address(std::string_view key, std::string& to, presence needed);
    void endpoint(std::string_view key, node_id& to);
    void endpoints(std::string_view key, std::vector<node_id>& to);
    void level(std::string_view key, log_level& to);

    /** @brief Reports a setting that contradicts another one. */
    void require(bool condition, std::string_view key, std::string_view expected);
    /** @brief Reports the keys that nobody asked for. */
    void report_unknown();

    [[nodiscard]] std::vector<settings_fault>& faults() noexcept { return faults_; }
    [[nodiscard]] std::vector<setting_description>& descriptions() noexcept { return descriptions_; }

private:
    [[nodiscard]] std::string path(std::string_view key) const;
    const nlohmann::json* find(std::string_view key, presence needed, const setting_description& description);
    const std::string* take_text(std::string_view key, std::string_view range, const std::string& fallback,
                                 presence needed);
    std::optional<std::uint64_t> take_number(std::string_view key, std::string_view unit, std::uint64_t low,
                                             std::uint64_t high, const std::string& fallback, presence needed);
    void fail(std::string key, settings_reason reason, std::string_view expected);
    void report_unknown_in(const nlohmann::json& object, const std::string& prefix);

    const nlohmann::json& document_;
    const nlohmann::json* object_{};
    std::string group_;
    std::set<std::string, std::less<>> known_;
    std::vector<settings_fault> faults_;
    std::vector<setting_description> descriptions_;
};

} // namespace goldcrestwell::internal

#endif
