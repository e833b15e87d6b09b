#!/usr/bin/env bash
# Checks formatting, layering and generated code, and runs clang-tidy.
# usage: tools/lint.sh BUILD_DIR [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
git ls-files -co --exclude-standard '*.h' '*.cc' | xargs clang-format --dry-run --Werror
/usr/bin/python3 tools/check_layers.py
if command -v clang-format >/dev/null && /usr/bin/python3 -c 'import yaml' 2>/dev/null; then
  /usr/bin/python3 schema/generate.py --check
fi
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' | grep -v '/generated/')
fi
noise='^[0-9]+ warnings? (generated|treated)|^Suppressed|^Use -header-filter|^$'
if ! printf '%s\n' "${files[@]}" | xargs -P 8 -n 2 clang-tidy --quiet -p "$build" >"$build/tidy.log" 2>&1; then
  grep -vE "$noise" "$build/tidy.log"
  exit 1
fi
