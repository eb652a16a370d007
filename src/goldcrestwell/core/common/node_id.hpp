#ifndef GOLDCRESTWELL_CORE_COMMON_NODE_ID_HPP
#define GOLDCRESTWELL_CORE_COMMON_NODE_ID_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Identity of a node: IPv4 address and port of its peer endpoint, `(address << 16) | port`. */
class node_id {
public:
    using value_type = std::uint64_t;

    constexpr node_id() noexcept = default;
    constexpr explicit node_id(const value_type value) noexcept : value_{value} {}

    /**
     * @param address IPv4 address in host byte order.
     * @param port TCP and UDP port.
     */
    constexpr node_id(const std::uint32_t address, const std::uint16_t port) noexcept
        : value_{(value_type{address} << 16U) | port} {}

    [[nodiscard]] constexpr value_type value() const noexcept { return value_; }
    /** @return IPv4 address in host byte order. */
    [[nodiscard]] constexpr std::uint32_t address() const noexcept { return static_cast<std::uint32_t>(value_ >> 16U); }
    [[nodiscard]] constexpr std::uint16_t port() const noexcept { return static_cast<std::uint16_t>(value_ & 0xFFFFU); }
    [[nodiscard]] constexpr explicit operator bool() const noexcept { return value_ != 0; }

    [[nodiscard]] friend constexpr auto operator<=>(node_id, node_id) noexcept = default;

private:
    value_type value_{};
};

/** @return Endpoint as `a.b.c.d:port`. */
[[nodiscard]] std::string to_string(node_id id);

/** @return Id of an endpoint given as `a.b.c.d:port`, or an empty optional if the text is malformed. */
[[nodiscard]] std::optional<node_id> parse_node_id(std::string_view text);

} // namespace goldcrestwell

#endif
