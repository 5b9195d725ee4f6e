#!/usr/bin/env bash
# Builds the stand-ins and the harness of the scripted cases into target/. Needs no network: the
# module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/platform"
go build -o ../../target/review-harness .
