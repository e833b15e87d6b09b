#!/usr/bin/env bash
# Builds everything and runs all tests except those listed in KNOWN-RED.txt.
# usage: tools/test.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build"
exclude=()
mapfile -t red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
if [ ${#red[@]} -gt 0 ]; then
  echo "known failing tests (KNOWN-RED.txt), not run:"
  printf '  %s\n' "${red[@]}"
  exclude=(-E "^($(IFS='|'; echo "${red[*]}"))\$")
fi
ctest --test-dir "$build" --output-on-failure --timeout 300 -j 4 "${exclude[@]}"
