#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start beside the router: stand-ins of
# the standard library alone, checked and compiled. The router is built by the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/pulley_adapter || sh deploy/build
python3 -m py_compile review/standins3.py review/engine3.py
for case in 11 12 13 14 15; do
  if [ -f "review/$case/run.py" ]; then
    python3 -m py_compile "review/$case/run.py"
  fi
done
