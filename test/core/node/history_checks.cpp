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
    good_taken_back += other.good_taken_back;
    done += other.done;
    bad_calls += other.bad_calls;
    bad_calls_after_verdict += other.bad_calls_after_verdict;
    return *this;
}

std::ostream& operator<<(std::ostream& out, const history_coverage& seen) {
    return out << "calls " << seen.calls << ", answered " << seen.answered << ", not run " << seen.not_run
               << ", unknown " << seen.unknown << ", edits " << seen.edits << ", accepted " << seen.accepted
               << ", faults " << seen.faults << ", restarts " << seen.restarts << ", drains " << seen.drains
               << ", taken back " << seen.rolled_back << ", good taken back " << seen.good_taken_back << ", done "
               << seen.done << ", bad calls " << seen.bad_calls << ", bad calls after verdict "
               << seen.bad_calls_after_verdict;
}

} // namespace goldcrestwell::test
