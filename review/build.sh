#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-standin .
