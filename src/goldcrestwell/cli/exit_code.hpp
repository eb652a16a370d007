#ifndef GOLDCRESTWELL_CLI_EXIT_CODE_HPP
#define GOLDCRESTWELL_CLI_EXIT_CODE_HPP

namespace goldcrestwell {

/** @brief Exit codes of the program; `docs/cli.md` lists them. */
enum class exit_code : int {
    success = 0,
    internal_error = 1,
    wrong_usage = 2,
    invalid_input = 3,
    refused = 4,
    unreachable = 5,
    outcome_unknown = 6,
    calls_cut = 7,
};

} // namespace goldcrestwell

#endif
