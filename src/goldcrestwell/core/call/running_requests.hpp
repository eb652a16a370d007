#ifndef GOLDCRESTWELL_CORE_CALL_RUNNING_REQUESTS_HPP
#define GOLDCRESTWELL_CORE_CALL_RUNNING_REQUESTS_HPP

#include "goldcrestwell/core/message/row_key.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief A request that runs at the upstream beside this node. */
struct running_request {
    row_key row;
    /** @brief Nodes passed since the first caller. */
    std::uint32_t hops{};
    /** @brief A call that it made was refused or failed, so its own failure says nothing about its upstream. */
    bool call_failed{};
};

/**
 * @brief Finds the request at whose run a call was made.
 *
 * The id of such a call is that of the running request, a dot and a part of its own.
 */
class running_requests {
public:
    using size_type = std::size_t;

    /** @param id Id that the caller gave the request; requests without one are not kept. */
    void add(const std::string& id, const running_request& request);
    /** @return What was known of the request; nothing if it was not kept. */
    std::optional<running_request> remove(const std::string& id);
    /** @brief A call that the request made was refused or failed. */
    void on_call_failed(std::string_view call_id);

    /** @return The request that makes the call; nothing if a caller made it. */
    [[nodiscard]] const running_request* parent_of(std::string_view call_id) const;
    [[nodiscard]] size_type size() const noexcept { return requests_.size(); }

private:
    std::map<std::string, running_request, std::less<>> requests_;
};

} // namespace goldcrestwell

#endif
