#include "goldcrestwell/core/node/node.hpp"
#include "goldcrestwell/shell/caller_listener.hpp"
#include "goldcrestwell/shell/signal_watch.hpp"
#include "goldcrestwell/shell/version.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

int main(int argc, char** argv) {
    using namespace goldcrestwell;
    if (argc != 2) {
        std::cout << "goldcrestwell " << program_version() << '\n';
        return EXIT_SUCCESS;
    }
    event_loop loop;
    node core{{.self = node_id{1}}};
    caller_listener listener{
        loop, core, {.server = {.port = static_cast<std::uint16_t>(std::strtoul(argv[1], nullptr, 10))}}};
    if (!listener.start()) {
        return EXIT_FAILURE;
    }
    const signal_watch terminate{loop, SIGTERM, [&loop] {
                                     loop.stop();
                                 }};
    loop.run();
    return EXIT_SUCCESS;
}
