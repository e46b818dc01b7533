#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run from the project's root, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS=-buildvcs=false go build -C review/standin2 -o ../../target/review-2 .
