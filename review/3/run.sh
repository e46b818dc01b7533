#!/usr/bin/env bash
# Starts the system's programs with stand-ins on loopback addresses; writes record.txt. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-standin leave ../.. record.txt
