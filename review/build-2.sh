#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/7 and later start: target/review-lab, and the earlier
# landed build from the repository's history for the upgrade of review/9. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
former=3ec6396
mkdir -p target/former-source target/former
(cd review/7/platform && go build -o ../../../target/review-lab .)
git archive "$former" go.mod go.sum cmd internal pkg platform | tar -x -C target/former-source
(cd target/former-source && go build -ldflags=-linkmode=external -o ../former/ ./cmd/eelplat)
