#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] || exit 2
exec ./target/review-2 refused review/8/record.txt
