#!/usr/bin/env bash
# Installs the build dependencies (as root only), builds, and runs and prints a demo session of the
# whole system.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$(id -u)" = 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  xargs apt-get install -y -qq --no-install-recommends <tools/packages.txt >/dev/null
fi
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build --target demo_session
build/bin/demo_session
