#!/usr/bin/env bash
# Runs clang-tidy over every compiled file of this project; needs build/compile_commands.json.
set -euo pipefail
exec python3 "$(dirname "$0")/lint.py"
