#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-lab ] && [ -x target/eelplat ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec target/review-lab replace review/6/record.txt
