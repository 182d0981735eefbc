#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONPATH
python3 review/1/case.py &
case=$!
# A script that is ended early still ends what it started.
trap 'kill "$case" 2>/dev/null; wait "$case"; exit 2' INT TERM HUP
wait "$case"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
