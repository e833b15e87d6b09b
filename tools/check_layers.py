#!/usr/bin/python3
"""Checks the layering of the code base: each package includes only the packages below it and permitted
libraries, and names that belong to the platform appear only in platform/ and deploy/. Prints the
violations and exits with an error if there are any."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Packages that each package may include besides itself. "platform" is the adapter in the folder platform/.
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
# Additional packages for single files: the main program connects the node to the adapter.
ALLOWED_BY_FILE = {"packages/node/main.cc": {"platform"}}
# Packages without external dependencies other than the standard library.
STANDARD_LIBRARY_ONLY = {"values", "util", "decisions"}
INCLUDE = re.compile(r'^\s*#\s*include\s+([<"])([^>"]+)[>"]')
# Names of HTTP headers, paths, fields and topics defined by the platform.
PLATFORM_NAMES = re.compile(
    r"Jackdawwind-|Api-Key|keyed\.|log-(append|read|newest|join)|/readiness|/heartbeat|virtual_hosts|"
    r"traffic_split|auth_exempt|path_prefix|api_keys|app_addr|port_range|fleetbench"
)


def folder_of(package):
    return ROOT / "platform" if package == "platform" else ROOT / "packages" / package


def sources(folder):
    return sorted(path for path in folder.rglob("*") if path.suffix in (".h", ".cc", ".yaml"))


def include_violations(package, path):
    file_name = path.relative_to(ROOT).as_posix()
    allowed = ALLOWED[package] | {package} | ALLOWED_BY_FILE.get(file_name, set())
    for number, line in enumerate(path.read_text().splitlines(), 1):
        match = INCLUDE.match(line)
        if not match:
            continue
        quote, name = match.groups()
        included_package = name.split("/")[0]
        where = f"{file_name}:{number}"
        if quote == '"' and included_package not in allowed:
            yield f"{where}: package {package} must not include {name}"
        if quote == "<" and package in STANDARD_LIBRARY_ONLY and ("/" in name or "." in name):
            yield f"{where}: package {package} must not include {name}: only the standard library is permitted"


def platform_name_violations(path):
    for number, line in enumerate(path.read_text().splitlines(), 1):
        match = PLATFORM_NAMES.search(line)
        if match:
            yield f"{path.relative_to(ROOT)}:{number}: platform name outside platform/ and deploy/: {match.group()}"


def main():
    violations = []
    for package in ALLOWED:
        for path in sources(folder_of(package)):
            if not {"tests", "soak"} & set(path.parts) and path.suffix != ".yaml":
                violations.extend(include_violations(package, path))
    for folder in ("packages", "schema", "tests", "bench"):
        for path in sources(ROOT / folder):
            violations.extend(platform_name_violations(path))
    if violations:
        sys.exit("\n".join(violations))


if __name__ == "__main__":
    main()
