#!/bin/sh
# Builds the stand-ins of the cases, the project's own too. Comes after the
# build of the deploy file and needs no network.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONPATH
python3 -m compileall -q dragonflynotch review
python3 -c 'import review.stand_ins.deployment'
