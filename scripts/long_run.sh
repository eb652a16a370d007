#!/usr/bin/env bash
# Runs every random-history test over a range of seeds and prints the test output, the seeds and the result.
# Usage: scripts/long_run.sh FIRST LAST
set -uo pipefail
if [ $# -ne 2 ]; then
    echo "usage: scripts/long_run.sh FIRST LAST" >&2
    exit 2
fi
cd "$(dirname "$0")/.."
export GOLDCRESTWELL_SEEDS="$1:$2"
status=0

# run MODULE SUITE: runs one suite of a test program that has already been built.
run() {
    local started=$SECONDS result=passed output
    output=$("build/test/test_core_$1" -t "$2" --log_level=message --color_output=no 2>&1) || result=FAILED
    grep -vE '^$|^Running|No errors detected' <<<"$output"
    printf 'core/%s %s: seeds %s, %s, %d s\n' "$1" "$2" "$GOLDCRESTWELL_SEEDS" "$result" $((SECONDS - started))
    [ "$result" = passed ] || status=1
}

run config random_history
run rollout histories
run membership histories
run call random_history
run node histories
exit "$status"
