#!/usr/bin/env bash
# Fails if a name of the platform protocol is used outside src/goldcrestwell/platform.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Goldcrestwell-[A-Z][a-z]+-|/goldcrestwell/|log-(append|newest|read|join|commit)|keyed\.(op|status|servers|nodes)|cold_left_ms|traffic_split|route_kind|path_prefix|ramp_s'
if grep -rnE "$names" src --include='*.hpp' --include='*.cpp' | grep -vE '^src/goldcrestwell/platform/' | grep -vE '#include'; then
    echo "check_platform: platform protocol names must only be used in src/goldcrestwell/platform" >&2
    exit 1
fi
echo "check_platform: clean"
