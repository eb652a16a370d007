#!/usr/bin/env bash
# Installs packages, builds the programs and runs demo.py on loopback, which stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target goldcrestwell stand_in_upstream stand_in_platform_log
python3 scripts/demo.py "$@"
