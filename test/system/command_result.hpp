#ifndef GOLDCRESTWELL_TEST_SYSTEM_COMMAND_RESULT_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_COMMAND_RESULT_HPP

#include <optional>
#include <string>

namespace goldcrestwell::test {

/** @brief Exit code and output of an operator command; no code if the command did not end in time. */
struct command_result {
    std::optional<int> code;
    std::string output;
};

} // namespace goldcrestwell::test

#endif
