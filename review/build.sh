#!/bin/sh
# Puts the stand-ins that the cases start under target/review. Run it after deploy/build.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R platform/src/pulley_platform_standins target/review/
cp -R review/standins target/review/review_standins
python3 -m compileall -q target/review
