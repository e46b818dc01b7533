#!/bin/sh
# Builds the stand-ins of the scripted cases of this review into target/.
set -e
cd "$(dirname "$0")/standin3"
mkdir -p ../../target
GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-standin3 .
