#!/usr/bin/python3
"""Checks that packages include only packages below them and the libraries they may use, and that the
names of the users' platform stand only in platform/ and deploy/."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Each package with the packages it may include, besides itself; "platform" is the adapter at the root.
ALLOWED = {
    "values": set(),
    "util": {"values"},
    "decisions": {"values", "util"},
    "wire": {"values", "util", "decisions"},
    "logservice": {"values", "util", "decisions", "wire"},
    "node": {"values", "util", "decisions", "wire", "logservice"},
    "operator": {"values", "util", "decisions", "wire", "logservice"},
    "standins": {"values", "util", "decisions", "wire", "logservice"},
    "platform": {"values", "util", "decisions", "wire", "node"},
}
# The program joins the node with the adapter.
PROGRAMS = {"packages/node/main.cc": {"platform"}}
# Packages that may include nothing but the standard library from outside.
PURE = {"values", "util", "decisions"}
INCLUDE = re.compile(r'^\s*#\s*include\s+([<"])([^>"]+)[>"]')
# Names of the platform's headers, paths, fields and topics.
PLATFORM_NAMES = re.compile(
    r"Jackdawwind-|Api-Key|keyed\.|log-(append|read|newest|join)|/readiness|/heartbeat|virtual_hosts|"
    r"traffic_split|auth_exempt|path_prefix|api_keys|app_addr|port_range|fleetbench"
)


def folder_of(package):
    return ROOT / "platform" if package == "platform" else ROOT / "packages" / package


def sources(folder):
    return sorted(path for path in folder.rglob("*") if path.suffix in (".h", ".cc", ".yaml"))


def include_problems(package, path):
    name_of = path.relative_to(ROOT).as_posix()
    allowed = ALLOWED[package] | {package} | PROGRAMS.get(name_of, set())
    for number, line in enumerate(path.read_text().splitlines(), 1):
        match = INCLUDE.match(line)
        if not match:
            continue
        quote, name = match.groups()
        first = name.split("/")[0]
        where = f"{name_of}:{number}"
        if quote == '"' and first not in allowed:
            yield f"{where}: {package} may not include {name}"
        if quote == "<" and package in PURE and ("/" in name or "." in name):
            yield f"{where}: {package} may include only the standard library, not {name}"


def name_problems(path):
    for number, line in enumerate(path.read_text().splitlines(), 1):
        match = PLATFORM_NAMES.search(line)
        if match:
            yield f"{path.relative_to(ROOT)}:{number}: name of the platform outside its adapter: {match.group()}"


def main():
    found = []
    for package in ALLOWED:
        for path in sources(folder_of(package)):
            if not {"tests", "soak"} & set(path.parts) and path.suffix != ".yaml":
                found.extend(include_problems(package, path))
    for folder in ("packages", "schema", "tests", "bench"):
        for path in sources(ROOT / folder):
            found.extend(name_problems(path))
    if found:
        sys.exit("\n".join(found))


if __name__ == "__main__":
    main()
