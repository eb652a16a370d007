#!/usr/bin/env bash
# Fails if the core includes input, output, threads, clocks, logging or an encoding library.
set -euo pipefail
cd "$(dirname "$0")/.."
forbidden='#include *[<"](event2|evhttp|event\.h|msgpack|easylogging|nlohmann|cxxopts|csv\.h|sys/|netinet/|arpa/|unistd|fcntl|poll|signal|csignal|fstream|iostream|cstdio|stdio|filesystem|thread|mutex|condition_variable|future|atomic|ctime|time\.h|goldcrestwell/(shell|codec|cli))'
calls='_clock::now|std::(thread|mutex|async)|sleep_for|usleep|getenv|random_device'
status=0
if grep -rnE "$forbidden" src/goldcrestwell/core; then status=1; fi
if grep -rnE "$calls" src/goldcrestwell/core; then status=1; fi
if [ "$status" -ne 0 ]; then
    echo "check_core: the core must not use input, output, threads, clocks or encodings" >&2
    exit 1
fi
echo "check_core: clean"
