#!/usr/bin/env bash
# A check-in of another writer, and then a change of the manifest.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/eelplat ] && [ -x target/review-harness ] || { echo "target/eelplat or target/review-harness is missing"; exit 2; }
exec target/review-harness foreign target/eelplat "review/2/record.txt"
