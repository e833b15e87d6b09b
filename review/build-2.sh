#!/usr/bin/env bash
# Prepares the stand-ins of the second review. They are Python programs of the standard library
# (3.11 or later) and need no compiler; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m py_compile standins-2/testbed.py
echo "stand-ins ready"
