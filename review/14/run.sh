#!/bin/sh
# Plays the case with the programs of the deploy file. Build them and review/build-3.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/eelplat ] && [ -x target/review-3/rig ] || exit 2
exec target/review-3/rig cold review/14
