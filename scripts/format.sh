#!/usr/bin/env bash
# Formats every source file in place; with --check only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.hpp' '*.cpp')
if [ "${1:-}" = "--check" ]; then
    clang-format --dry-run --Werror "${files[@]}"
    echo "format: clean"
else
    clang-format -i "${files[@]}"
fi
