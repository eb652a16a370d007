#ifndef GOLDCRESTWELL_TEST_STAND_IN_ANNOUNCER_HPP
#define GOLDCRESTWELL_TEST_STAND_IN_ANNOUNCER_HPP

#include "stand_in/http_service.hpp"

#include <functional>
#include <string>

namespace goldcrestwell::test {

/** @brief Posts announcements of an upstream to the admin listener of its node. */
class announcer {
public:
    /** @param node Address and port of the admin listener, written `a.b.c.d:port`. */
    announcer(http_service& service, std::string node) : service_{service}, node_{std::move(node)} {}

    /** @brief Posts a body; `done` is called once, also if the node does not respond. */
    void post(const char* path, const std::string& body, std::function<void()> done);

private:
    http_service& service_;
    std::string node_;
};

} // namespace goldcrestwell::test

#endif
