#ifndef GOLDCRESTWELL_CORE_MESSAGE_MESSAGE_BODY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_MESSAGE_BODY_HPP

#include "goldcrestwell/core/common/memory_reservation.hpp"

#include <concepts>
#include <cstddef>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrestwell {

/**
 * @brief Immutable body of an HTTP message.
 *
 * Copies share the bytes and the memory reserved for the whole message, so a message is counted once however many parts
 * of the process hold it.
 */
class message_body {
public:
    using size_type = std::size_t;

    message_body() noexcept = default;
    message_body(std::string bytes);
    message_body(std::string_view bytes) : message_body{std::string{bytes}} {}
    message_body(const char* bytes) : message_body{std::string{bytes}} {}
    /** @param memory Memory reserved for the message that the body belongs to. */
    message_body(std::string bytes, memory_reservation memory);

    [[nodiscard]] const std::string& str() const noexcept;
    [[nodiscard]] size_type size() const noexcept { return str().size(); }
    [[nodiscard]] bool empty() const noexcept { return str().empty(); }
    operator std::string_view() const noexcept { return str(); }

    [[nodiscard]] friend bool operator==(const message_body& left, const message_body& right) {
        return left.str() == right.str();
    }
    template <typename Text>
    requires std::convertible_to<const Text&, std::string_view> &&(!std::same_as<Text, message_body>)
        [[nodiscard]] friend bool
        operator==(const message_body& left, const Text& right) {
        return left.str() == std::string_view{right};
    }
    friend std::ostream& operator<<(std::ostream& out, const message_body& body);

private:
    struct content {
        std::string bytes;
        memory_reservation memory;
    };

    std::shared_ptr<const content> content_;
};

} // namespace goldcrestwell

#endif
