#include "goldcrestwell/cli/command.hpp"
#include "goldcrestwell/shell/version.hpp"

#include <iostream>
#include <string_view>

namespace {

constexpr std::string_view usage = "Usage: goldcrestwell COMMAND [OPTIONS]\n"
                                   "\n"
                                   "Commands:\n"
                                   "  node --settings FILE     run the daemon beside an upstream\n"
                                   "  sidecar --settings FILE  run the daemon on a platform with a store\n"
                                   "  table show               print the table in force, aligned\n"
                                   "  table export             print the table as CSV\n"
                                   "  table apply FILE         apply the changed rows of a CSV file\n"
                                   "  table watch              print the table at every change\n"
                                   "  table result ID          print the decision on an edit\n"
                                   "  status                   print a node's health, members and counters\n"
                                   "  check FILE               validate a settings file\n"
                                   "  load --target A:P        send calls at a fixed rate, check and time the answers\n"
                                   "  version                  print the version\n"
                                   "\n"
                                   "'goldcrestwell COMMAND --help' lists the options of a command.\n";

goldcrestwell::exit_code dispatch(const std::span<char*> arguments) {
    using namespace goldcrestwell;
    const std::string_view command{arguments.empty() ? "" : arguments.front()};
    if (command == "node") {
        return run_node(arguments);
    }
    if (command == "sidecar") {
        return run_sidecar(arguments);
    }
    if (command == "table") {
        return run_table(arguments);
    }
    if (command == "status") {
        return run_status(arguments);
    }
    if (command == "check") {
        return run_check(arguments);
    }
    if (command == "load") {
        return run_load(arguments);
    }
    if (command == "version" || command == "--version") {
        std::cout << "goldcrestwell " << program_version() << '\n';
        return exit_code::success;
    }
    if (command == "--help" || command == "-h" || command == "help") {
        std::cout << usage;
        return exit_code::success;
    }
    std::cerr << usage;
    return exit_code::wrong_usage;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return static_cast<int>(dispatch(std::span{argv, static_cast<std::size_t>(argc)}.subspan(1)));
    } catch (const std::exception& failure) {
        std::cerr << "internal error: " << failure.what() << '\n';
        return static_cast<int>(goldcrestwell::exit_code::internal_error);
    }
}
