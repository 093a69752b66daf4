#!/bin/sh
# Lays the stand-ins that the scripts of the second review start into target/review-2.
#
# Run after deploy/build.sh: the stand-in of the store uses its libraries.  Needs no
# network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -R standins/src/runhatch_standins target/review-2/
find target/review-2 -name __pycache__ -prune -exec rm -rf {} +
cp review/harness_2.py target/review-2/
