#!/bin/sh
# Lays the daemon's pinned libraries and its own packages into target/deps.
#
# The libraries are installed again only when what declares them has changed; the
# packages are plain Python and are copied.
set -eu
cd "$(dirname "$0")/.."
packages="./packages/runhatch-coordination ./packages/runhatch-server ./platform"
stamp=target/deps/.declared
declared=$(cat constraints.txt deploy/build.sh \
    packages/runhatch-coordination/pyproject.toml \
    packages/runhatch-server/pyproject.toml platform/pyproject.toml | cksum)
if [ ! -f "$stamp" ] || [ "$declared" != "$(cat "$stamp")" ]; then
    rm -rf target/deps
    mkdir -p target
    python3 -m pip install --quiet --disable-pip-version-check --no-warn-conflicts \
        -c constraints.txt --target target/deps $packages
    printf '%s' "$declared" > "$stamp"
fi
rm -rf target/deps/runhatch_*
for package in $packages; do
    cp -R "$package"/src/* target/deps/
done
find target/deps/runhatch_* -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/deps || true
