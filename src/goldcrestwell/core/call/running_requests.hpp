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

/** @brief Request that is running at the local upstream. */
struct running_request {
    row_key row;
    /** @brief Number of nodes that the request has passed since the first caller. */
    std::uint32_t hops{};
    /** @brief Whether a nested call was refused or failed; a failure is then no evidence about the upstream. */
    bool call_failed{};
};

/**
 * @brief Index of running requests by id, used to find the parent request of a nested call.
 *
 * The id of a nested call consists of the parent's id, a dot and a suffix.
 */
class running_requests {
public:
    using size_type = std::size_t;

    /** @param id Request id that the caller stated; requests without one are not stored. */
    void add(const std::string& id, const running_request& request);
    /** @return The removed request; empty if it was not stored. */
    std::optional<running_request> remove(const std::string& id);
    /** @brief Marks the parent of a call that was refused or failed. */
    void on_call_failed(std::string_view call_id);

    /** @brief Returns the parent request of a call, or null if no running request made the call. */
    [[nodiscard]] const running_request* parent_of(std::string_view call_id) const;
    [[nodiscard]] size_type size() const noexcept { return requests_.size(); }

private:
    std::map<std::string, running_request, std::less<>> requests_;
};

} // namespace goldcrestwell

#endif
