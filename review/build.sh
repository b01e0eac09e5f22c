#!/bin/sh
# The stand-ins are Python programs over the standard library: nothing is compiled into
# the tree, they are only checked.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/*.py; do
  python3 - "$file" <<'CHECK'
import sys

with open(sys.argv[1], "rb") as source:
    compile(source.read(), sys.argv[1], "exec")
CHECK
done
