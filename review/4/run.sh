#!/usr/bin/env bash
# Servers that are slow for a while, and a route whose timeout is lowered meanwhile.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/eelplat ] && [ -x target/review-harness ] || { echo "target/eelplat or target/review-harness is missing"; exit 2; }
exec target/review-harness stuck target/eelplat "review/4/record.txt"
