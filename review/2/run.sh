#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/hickorybend ] && [ -x target/review-lab ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec timeout -k 5 115 target/review-lab grace "$here/record.txt"
