#!/bin/sh
# Runs the case; target/review-lostlog is built by review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if it
# could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-lostlog ] || exit 2
exec target/review-lostlog "$folder/record.txt"
