#!/usr/bin/python3
"""Checks that packages include only packages below them and the libraries they may use."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Each package with the packages it may include, besides itself.
ALLOWED = {
    "values": set(),
    "util": {"values"},
    "decisions": {"values", "util"},
    "wire": {"values", "util", "decisions"},
    "platform": {"values", "util", "decisions", "wire"},
    "node": {"values", "util", "decisions", "wire", "platform"},
    "operator": {"values", "util", "decisions", "wire", "platform"},
    "standins": {"values", "util", "decisions", "wire", "platform"},
}
# Packages that may include nothing but the standard library from outside.
PURE = {"values", "util", "decisions"}
INCLUDE = re.compile(r'^\s*#\s*include\s+([<"])([^>"]+)[>"]')


def problems(package, path):
    for number, line in enumerate(path.read_text().splitlines(), 1):
        match = INCLUDE.match(line)
        if not match:
            continue
        quote, name = match.groups()
        first = name.split("/")[0]
        where = f"{path.relative_to(ROOT)}:{number}"
        if quote == '"' and first not in ALLOWED[package] | {package}:
            yield f"{where}: {package} may not include {name}"
        if quote == "<" and package in PURE and ("/" in name or "." in name):
            yield f"{where}: {package} may include only the standard library, not {name}"


def main():
    found = []
    for package in ALLOWED:
        for path in sorted((ROOT / "packages" / package).rglob("*")):
            if path.suffix in (".h", ".cc") and "tests" not in path.parts:
                found.extend(problems(package, path))
    if found:
        sys.exit("\n".join(found))


if __name__ == "__main__":
    main()
