#!/usr/bin/env bash
# The test command: installs packages, checks format, core and lint, builds, runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/format.sh --check
scripts/check_core.sh
scripts/check_platform.sh
scripts/build.sh
ctest --test-dir build --output-on-failure --no-tests=error -j 4
scripts/lint.sh
if [ -s KNOWN-RED.txt ]; then
    cat KNOWN-RED.txt
fi
