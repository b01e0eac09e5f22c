#!/bin/sh
# The stand-ins of the scripts in review/4 to review/8 use Python's standard library
# alone, so that they need no build but the deploy file's. This checks that they load.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.path.insert(0, "review/common2"); import harness'
