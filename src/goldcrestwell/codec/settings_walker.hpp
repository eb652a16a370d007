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
 * @brief Visits settings one by one: describes each key and reads its value from a document.
 *
 * The descriptions and the values come from the same list of keys, so that they cannot differ.
 */
class settings_walker {
public:
    explicit settings_walker(const nlohmann::json& document) : document_{document} {}

    /** @brief Starts a group of keys; an empty name means the top level. */
    void enter(std::string_view group);
    /** @brief Accepts numbers with a fraction from now on and rounds them down. */
    void round_fractions() noexcept { rounds_fractions_ = true; }

    template <std::unsigned_integral Integer>
    void number(const std::string_view key, const std::string_view unit, const std::uint64_t min_value,
                const std::uint64_t max_value, Integer& to, const presence key_presence = presence::optional) {
        const auto fallback = std::to_string(to);
        if (const auto value = read_number(key, unit, min_value, max_value, fallback, key_presence)) {
            to = static_cast<Integer>(*value);
        }
    }
    /** @brief Visits a duration; the key ends with its unit, `_ms` or `_s`. */
    template <typename Rep, typename Period>
    void duration(const std::string_view key, const std::chrono::duration<Rep, Period> min_value,
                  const std::type_identity_t<std::chrono::duration<Rep, Period>> max_value,
                  std::type_identity_t<std::chrono::duration<Rep, Period>>& to) {
        constexpr std::string_view unit = std::is_same_v<Period, std::milli> ? "ms" : "s";
        const auto count = [](const auto value) {
            return static_cast<std::uint64_t>(value.count());
        };
        if (const auto value = read_number(key, unit, count(min_value), count(max_value), std::to_string(to.count()),
                                           presence::optional)) {
            to = std::chrono::duration<Rep, Period>{static_cast<Rep>(*value)};
        }
    }
    void name(std::string_view key, std::string& to, presence key_presence);
    void text(std::string_view key, std::string& to);
    void address(std::string_view key, std::string& to, presence key_presence);
    void endpoint(std::string_view key, node_id& to);
    void endpoints(std::string_view key, std::vector<node_id>& to);
    void level(std::string_view key, log_level& to);
    /** @brief Visits the group `limits`. */
    void limits(resource_settings& to);

    /** @brief Reports a setting that contradicts another one, if the condition is false. */
    void require(bool condition, std::string_view key, std::string_view expected);
    /** @brief Reports the keys of the document that were not visited. */
    void report_unknown();

    [[nodiscard]] std::vector<settings_fault>& faults() noexcept { return faults_; }
    [[nodiscard]] std::vector<setting_description>& descriptions() noexcept { return descriptions_; }

private:
    [[nodiscard]] std::string path(std::string_view key) const;
    const nlohmann::json* find(std::string_view key, presence key_presence, const setting_description& description);
    const std::string* read_text(std::string_view key, std::string_view range, const std::string& fallback,
                                 presence key_presence);
    std::optional<std::uint64_t> read_number(std::string_view key, std::string_view unit, std::uint64_t min_value,
                                             std::uint64_t max_value, const std::string& fallback,
                                             presence key_presence);
    void fail(std::string key, settings_reason reason, std::string_view expected);
    void report_unknown_in(const nlohmann::json& object, const std::string& prefix);

    const nlohmann::json& document_;
    const nlohmann::json* object_{};
    std::string group_;
    bool rounds_fractions_{};
    std::set<std::string, std::less<>> known_keys_;
    std::vector<settings_fault> faults_;
    std::vector<setting_description> descriptions_;
};

} // namespace goldcrestwell::internal

#endif
