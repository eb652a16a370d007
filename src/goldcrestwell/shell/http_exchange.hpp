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

/** @brief One request to a listener and the place for its answer. */
class http_exchange {
public:
    using gone_hook = std::function<void()>;
    using reply_hook = std::function<void(const http_response&)>;

    /** @param send Sends the answer; called at most once. */
    http_exchange(http_message request, reply_hook send) : request_{std::move(request)}, send_{std::move(send)} {}

    [[nodiscard]] const std::string& method() const noexcept { return request_.method; }
    /** @return Path and query as sent. */
    [[nodiscard]] const std::string& target() const noexcept { return request_.target; }
    [[nodiscard]] const std::vector<http_header>& headers() const noexcept { return request_.headers; }
    [[nodiscard]] const std::string& body() const noexcept { return request_.body; }

    /** @return The path without the query. */
    [[nodiscard]] std::string_view path() const noexcept;

    /** @return The value of a query parameter, decoded, or nothing. */
    [[nodiscard]] std::optional<std::string> parameter(const std::string& name) const;

    /** @brief Sends the answer; does nothing if the other end has gone or was answered already. */
    void reply(const http_response& answer);

    /** @return True while an answer can still be sent. */
    [[nodiscard]] bool open() const noexcept { return send_ != nullptr; }

    /** @brief Sets what is called if the other end closes the connection before the answer. */
    void on_gone(gone_hook hook) { on_gone_ = std::move(hook); }

    /** @brief Called by the listener when the connection has closed. */
    void mark_gone();

private:
    http_message request_;
    reply_hook send_;
    gone_hook on_gone_;
};

} // namespace goldcrestwell

#endif
