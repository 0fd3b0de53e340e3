#!/bin/sh
# The stand-ins are Python of the standard library, run by the interpreter that the deploy file's build makes:
# checks that it is there and that each of them compiles.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/lab.py review/[1-9]/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
