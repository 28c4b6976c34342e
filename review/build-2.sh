#!/bin/sh
# Puts every stand-in of the second review's scripts under target/review-2: the
# project's own, which use the libraries of the deploy build, and those of the cases.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of the deploy file first" >&2; exit 2; }
rm -rf target/review-2
mkdir -p target/review-2
cp -R platform/src/pulley_platform_standins target/review-2/
cp review/harness2.py target/review-2/
python3 -m compileall -q target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
  if [ -d "$folder" ]; then python3 -m compileall -q "$folder"; fi
done
