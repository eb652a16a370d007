#!/usr/bin/env bash
# Runs clang-tidy over every compiled file of this project; needs build/compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
log=build/lint.log
if ! run-clang-tidy -quiet -p build "$PWD/(src|test|bench)/.*" >"$log" 2>&1; then
    grep -E '(error|warning):' "$log" | sort -u | head -60
    echo "lint: failed, full output in $log" >&2
    exit 1
fi
echo "lint: clean"
