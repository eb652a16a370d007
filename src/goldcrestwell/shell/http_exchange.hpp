#ifndef GOLDCRESTWELL_SHELL_HTTP_EXCHANGE_HPP
#define GOLDCRESTWELL_SHELL_HTTP_EXCHANGE_HPP

#include "goldcrestwell/core/message/http_response.hpp"
#include "goldcrestwell/shell/http_message.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrestwell {

/** @brief Request received by a listener, with the means to send its response. */
class http_exchange {
public:
    using disconnect_hook = std::function<void()>;
    using reply_hook = std::function<void(const http_response&)>;

    /** @param send Sends the response; called at most once. */
    http_exchange(http_message request, reply_hook send) : request_{std::move(request)}, send_{std::move(send)} {}

    [[nodiscard]] const std::string& method() const noexcept { return request_.method; }
    /** @brief Returns the path and query as received. */
    [[nodiscard]] const std::string& target() const noexcept { return request_.target; }
    [[nodiscard]] const std::vector<http_header>& headers() const noexcept { return request_.headers; }
    [[nodiscard]] const message_body& body() const noexcept { return request_.body; }

    /** @brief Returns the path without the query. */
    [[nodiscard]] std::string_view path() const noexcept;

    /** @brief Returns the decoded value of a query parameter, or nothing. */
    [[nodiscard]] std::optional<std::string> parameter(const std::string& name) const;

    /** @brief Sends the response; does nothing if the connection is closed or a response has already been sent. */
    void reply(const http_response& response);

    /** @brief Checks whether a response can still be sent. */
    [[nodiscard]] bool open() const noexcept { return send_ != nullptr; }

    /** @brief Sets the hook that is called if the connection closes before a response is sent. */
    void on_disconnect(disconnect_hook hook) { on_disconnect_ = std::move(hook); }

    /** @brief Calls the disconnect hook unless a response was sent; listeners call this when the connection closes. */
    void notify_disconnect();

private:
    http_message request_;
    reply_hook send_;
    disconnect_hook on_disconnect_;
};

} // namespace goldcrestwell

#endif
