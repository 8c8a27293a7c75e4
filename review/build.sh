#!/bin/sh
# Builds what the scripts start: the libraries of the deploy file.  The stand-ins are
# plain Python and need no build of their own.
cd "$(dirname "$0")/.." || exit 2
exec sh -c "$(python3 -c '
import tomllib
print(tomllib.load(open("deploy/system.toml", "rb"))["build"])
')"
