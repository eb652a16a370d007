#include "core/node/history_checks.hpp"

namespace goldcrestwell::test {

history_coverage& history_coverage::operator+=(const history_coverage& other) {
    calls += other.calls;
    answered += other.answered;
    not_run += other.not_run;
    unknown += other.unknown;
    edits += other.edits;
    accepted += other.accepted;
    faults += other.faults;
    restarts += other.restarts;
    drains += other.drains;
    rolled_back += other.rolled_back;
    good_rolled_back += other.good_rolled_back;
    done += other.done;
    faulty_version_calls += other.faulty_version_calls;
    faulty_version_calls_after_verdict += other.faulty_version_calls_after_verdict;
    return *this;
}

std::ostream& operator<<(std::ostream& out, const history_coverage& seen) {
    return out << "calls " << seen.calls << ", answered " << seen.answered << ", not run " << seen.not_run
               << ", unknown " << seen.unknown << ", edits " << seen.edits << ", accepted " << seen.accepted
               << ", faults " << seen.faults << ", restarts " << seen.restarts << ", drains " << seen.drains
               << ", rolled back " << seen.rolled_back << ", good rolled back " << seen.good_rolled_back << ", done "
               << seen.done << ", bad calls " << seen.faulty_version_calls << ", bad calls after verdict "
               << seen.faulty_version_calls_after_verdict;
}

} // namespace goldcrestwell::test
