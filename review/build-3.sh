#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs without dependencies, so this
# only checks that they can be loaded. The node itself is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in common-3/stand_ins.py 1[1-5]/case.py; do
  [ -f "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
