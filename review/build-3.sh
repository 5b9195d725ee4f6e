#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/11/platform"
go build -o ../../../target/review-3/rig .
