#!/usr/bin/env bash
# Runs the fault soak over a range of seeds, JOBS (default 3) at a time; each seed takes about 20 s and five processes.
# Usage: scripts/soak.sh FIRST LAST [JOBS]
set -uo pipefail
if [ $# -lt 2 ]; then
    echo "usage: scripts/soak.sh FIRST LAST [JOBS]" >&2
    exit 2
fi
cd "$(dirname "$0")/.."
one_seed() {
    GOLDCRESTWELL_SEEDS="$1:$1" build/soak/soak --color_output=no 2>&1 |
        grep -vE '^$|^Running|No errors detected|detected in the test module'
    return "${PIPESTATUS[0]}"
}
export -f one_seed
seq "$1" "$2" | xargs -P "${3:-3}" -I{} bash -c 'one_seed {}'
