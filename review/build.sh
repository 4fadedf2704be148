#!/usr/bin/env bash
# The stand-ins are Python programs that use the standard library only; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for program in standins/*.py [1-5]/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$program"
done
