#!/usr/bin/env bash
# Installs every package that the build, the checks and the tests need. Requires root.
set -euo pipefail
packages=(g++ cmake make ninja-build ccache pkg-config curl python3 git
    clang-format clang-tidy
    libevent-dev libmsgpack-cxx-dev libboost-dev libboost-test-dev libcxxopts-dev libeasyloggingpp-dev
    nlohmann-json3-dev libxxhash-dev libcsv-dev libhttp-parser-dev librapidcheck-dev zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
    if [ "$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)" != "install ok installed" ]; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
