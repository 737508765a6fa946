#!/usr/bin/env bash
# Plays the case: see claim.txt. TROUBLE=0 leaves the disruption out. The exit status is 1 if the rule was broken,
# 0 if it held, and 2 if the case couldn't run. It takes at most 117 seconds.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -n "$run" ] && [ -x target/review-standin ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
calm=()
[ "${TROUBLE:-1}" != 0 ] || calm=(--calm)
exec target/review-standin crashed --run "$run" --record "$here/record.txt" "${calm[@]}"
