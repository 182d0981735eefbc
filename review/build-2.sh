#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start: compiles them
# and those of the project, and checks that they load with the packages that the
# build line of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q dragonflynotch/testing review/parts_2 \
    review/6 review/7 review/8 review/9 review/10
PYTHONPATH="$PWD/target/deps:$PWD" python3 -c 'import review.parts_2.site'
