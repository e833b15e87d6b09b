#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run. TROUBLE=0: without it.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec timeout --preserve-status -k 3 112 python3 case.py
