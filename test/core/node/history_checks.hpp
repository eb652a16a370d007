#ifndef GOLDCRESTWELL_TEST_CORE_NODE_HISTORY_CHECKS_HPP
#define GOLDCRESTWELL_TEST_CORE_NODE_HISTORY_CHECKS_HPP

#include "goldcrestwell/core/common/invariant_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <cstddef>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Violations found in one random history. */
class history_checks {
public:
    /** @brief Records a violation of an invariant of section 1.1 of the design page if the condition is false. */
    void check(const invariant_id id, const bool holds, const std::string& what) {
        check(std::string{to_string(id)}, holds, what);
    }
    void check(const std::string& name, const bool holds, const std::string& what) {
        ++checked_[name];
        if (!holds && ++violations_ <= max_reports) {
            reports_.push_back(name + ": " + what);
        }
    }

    [[nodiscard]] std::size_t violations() const noexcept { return violations_; }
    [[nodiscard]] const std::vector<std::string>& reports() const noexcept { return reports_; }
    /** @return Number of times each check was made. */
    [[nodiscard]] const std::map<std::string, std::size_t>& checked() const noexcept { return checked_; }

private:
    static constexpr std::size_t max_reports = 8;

    std::map<std::string, std::size_t> checked_;
    std::vector<std::string> reports_;
    std::size_t violations_{};
};

/** @brief Events that occurred in a random history. */
struct history_coverage {
    std::size_t calls{};
    std::size_t answered{};
    std::size_t not_run{};
    std::size_t unknown{};
    std::size_t edits{};
    std::size_t accepted{};
    std::size_t faults{};
    std::size_t restarts{};
    std::size_t drains{};
    std::size_t rolled_back{};
    std::size_t good_rolled_back{};
    std::size_t done{};
    /** @brief Number of calls sent to a faulty version: all, and those after its rollback reached the sending node. */
    std::size_t faulty_version_calls{};
    std::size_t faulty_version_calls_after_verdict{};

    history_coverage& operator+=(const history_coverage& other);
};

std::ostream& operator<<(std::ostream& out, const history_coverage& seen);

} // namespace goldcrestwell::test

#endif
