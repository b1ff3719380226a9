#!/bin/sh
# The stand-ins need Python's own library only, so they are just compiled.
cd "$(dirname "$0")" || exit 2
for each in rig2 trials-2 6 7 8 9 10; do
    [ ! -d "$each" ] || python3 -m compileall -q "$each" || exit 1
done
