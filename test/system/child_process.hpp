#ifndef GOLDCRESTWELL_TEST_SYSTEM_CHILD_PROCESS_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Process started by a test; the destructor kills it if it is still running. */
class child_process {
public:
    /**
     * @param arguments Path of the program and its arguments.
     * @param output File to which the standard output and error are appended.
     */
    child_process(const std::vector<std::string>& arguments, const std::filesystem::path& output);
    ~child_process();

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /** @brief Sends a signal if the process is still running. */
    void send_signal(int number);

    /** @return Exit code, 128 plus the signal number after a fatal signal, or nothing while the process runs. */
    [[nodiscard]] std::optional<int> exit_status();

    [[nodiscard]] pid_t id() const noexcept { return id_; }

private:
    pid_t id_{};
    std::optional<int> status_;
};

} // namespace goldcrestwell::test

#endif
