#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/daledyke ] && [ -x target/review-stage ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
target/review-stage image "$folder" &
stage=$!
trap 'kill "$stage" 2>/dev/null' INT TERM HUP
wait "$stage"
status=$?
# A signal to this script ends the first wait; the stand-in ends its processes before it ends.
while kill -0 "$stage" 2>/dev/null; do wait "$stage"; status=2; done
case $status in 0 | 1) exit "$status" ;; esac
exit 2
