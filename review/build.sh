#!/bin/sh
# The stand-ins need the standard library only; this checks that they can be compiled by the Python of the build.
set -eu
cd "$(dirname "$0")"
python3 -c 'import pathlib, sys; [compile(p.read_text(), str(p), "exec") for p in pathlib.Path(".").rglob("*.py")]'
