#!/bin/sh
# Lays the stand-ins that the scripts of this folder start into target/review.
# Run it after the build of the deploy file, whose libraries they use.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R standins/src/runhatch_standins target/review/
cp review/review_*.py target/review/
find target/review -name __pycache__ -prune -exec rm -rf {} +
