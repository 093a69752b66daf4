#!/bin/sh
# Lays the daemon's pinned libraries and its own packages into target/deps.
#
# The libraries are installed again only when what declares them has changed, and
# the packages, which are plain Python, are copied again only when they have: a
# build that changes nothing may run while programs start from target/deps.
set -eu
cd "$(dirname "$0")/.."
packages="./packages/runhatch-coordination ./packages/runhatch-server ./platform"
declared_stamp=target/deps/.declared
declared=$(cat constraints.txt deploy/build.sh \
    packages/runhatch-coordination/pyproject.toml \
    packages/runhatch-server/pyproject.toml platform/pyproject.toml | cksum)
if [ ! -f "$declared_stamp" ] || [ "$declared" != "$(cat "$declared_stamp")" ]; then
    rm -rf target/deps
    mkdir -p target
    python3 -m pip install --quiet --disable-pip-version-check --no-warn-conflicts \
        -c constraints.txt --target target/deps $packages
    printf '%s' "$declared" > "$declared_stamp"
fi
copied_stamp=target/deps/.copied
copied=$(for package in $packages; do
    find "$package/src" -type f ! -name '*.pyc' -exec cksum {} +
done | sort | cksum)
if [ ! -f "$copied_stamp" ] || [ "$copied" != "$(cat "$copied_stamp")" ]; then
    rm -rf target/deps/runhatch_*
    for package in $packages; do
        cp -R "$package"/src/* target/deps/
    done
    find target/deps/runhatch_* -name __pycache__ -prune -exec rm -rf {} +
    python3 -m compileall -q target/deps || true
    printf '%s' "$copied" > "$copied_stamp"
fi
