#include "system/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace goldcrestwell::test {

namespace {

constexpr int signal_base = 128;
constexpr mode_t output_mode = 0600;

} // namespace

child_process::child_process(const std::vector<std::string>& arguments, const std::filesystem::path& output) {
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (const auto& argument : arguments) {
        pointers.push_back(const_cast<char*>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     output_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const auto error = posix_spawn(&id_, pointers.front(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error{"cannot start " + arguments.front()};
    }
}

child_process::~child_process() {
    send_signal(SIGKILL);
    if (!status_) {
        waitpid(id_, nullptr, 0);
    }
}

void child_process::send_signal(const int number) {
    if (!exit_status()) {
        kill(id_, number);
    }
}

std::optional<int> child_process::exit_status() {
    int status{};
    if (!status_ && waitpid(id_, &status, WNOHANG) == id_) {
        status_ = WIFSIGNALED(status) ? signal_base + WTERMSIG(status) : WEXITSTATUS(status);
    }
    return status_;
}

} // namespace goldcrestwell::test
