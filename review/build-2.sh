#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start beside the program of the deploy file. Their stand-ins are
# Python programs and need no build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.dont_write_bytecode = True; sys.path.insert(0, "stand_in_2"); import fleet'
