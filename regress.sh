#!/usr/bin/env bash
# Regression runs on the users' bench; CONTRIBUTING.md says which run is required before which change.
#
#   ./regress.sh quick [WHY]    the two hardest days of each of the three smaller sites
#   ./regress.sh fleet [WHY]    as quick, also for the two fleet and the two hunt sites; all days of the
#                               fleet sites and the harbour site, the project's own days (docs/days)
#                               with three seeds each, and a short hunt on each hunt site
#   ./regress.sh full  [WHY]    all seven sites in full, a hunt on each, and the same days as with fleet
#   ./regress.sh days  [WHY]    the project's own days only
#   ./regress.sh served REPORT...  reads reports of days (fleetbench run --report): who was served least
#   ./regress.sh compare FILE   compares again what an earlier run printed
#   ./regress.sh keep FILE      makes the figures in FILE the baseline of later comparisons
#
# Exit status: 0 no regression, 1 a rule was broken, a day failed, a figure fell by more
# than 0.03 against docs/regression.txt, or less than half of a class of jobs or of a team
# was served on a day that was run, 2 the run was not possible.
set -uo pipefail
cd "$(dirname "$0")"
given=../given/kit
bench=$given/more/hunt/bin/fleetbench
kept=docs/regression.txt
harbour=$given/added/korvanel-havres.toml
smaller=("$harbour" "$given/change/korvanel-ops-next.toml" "$given/change/lanyu-hosted-next.toml")
fleet=("$given/more/fleet/korvanel-ops-fleet.toml" "$given/more/fleet/lanyu-hosted-fleet.toml")
hunted=("$given/more/hunt/korvanel-ops-hunt.toml" "$given/more/hunt/lanyu-hosted-hunt.toml")
seeds=(11 12 13)
# Matches what the bench prints for a broken rule, and what this script prints for a day without a figure.
broken='BROKEN|rules broken|NO FIGURE'

usage() { sed -n '2,18s/^# \{0,1\}//p' "$0" >&2; exit 2; }

# figures FILE: prints "site mode figure" for each scored site in the output of a run.
figures() {
  sed -nE -e 's/^quick estimate on the standard days of ([^ ]+) .*: ([0-9.]+),? ?.*$/\1 quick \2/p' \
    -e 's/^score on the standard days of ([^ ]+) .*: ([0-9.]+),? ?.*$/\1 full \2/p' "$1"
}

# compare FILE: compares each figure with the baseline, and prints broken rules and failed days.
compare() {
  local status=0 found=0 site mode now before
  while read -r site mode now; do
    found=1
    before=$(awk -v s="$site" -v m="$mode" '$1 == s && $2 == m { print $3 }' "$kept")
    if [ -z "$before" ]; then
      printf '%-24s %-6s %s  (none kept yet)\n' "$site" "$mode" "$now"
    elif awk -v a="$before" -v b="$now" 'BEGIN { exit !(a - b > 0.0300001) }'; then
      printf '%-24s %-6s %s  FELL from %s\n' "$site" "$mode" "$now" "$before"
      status=1
    else
      printf '%-24s %-6s %s  (kept %s)\n' "$site" "$mode" "$now" "$before"
    fi
  done < <(figures "$1")
  if [ "$found" = 0 ]; then
    echo "no figure was printed: nothing was scored" >&2
    status=1
  fi
  # The bench names broken rules and scores a failed day as 0.00. A hunt without any failure prints
  # "0 with a rule broken".
  if grep -nE "$broken"'|[1-9][0-9]* with a rule broken|missed (rules|node_restarts)|^[^ ].* [0-9]+ +0\.00 +[0-9]+/[0-9]+' "$1"; then
    echo "a rule broke or a day failed: see above" >&2
    status=1
  fi
  return $status
}

# A day fails if the share served of any class, any team or the largest jobs of any class is below $least.
# A share below $look is marked as low.
least=0.5
look=0.65

# served REPORT...: prints for each day the class, the team and the class's largest jobs with the smallest
# share served. The share of services is that of replica time. The share of other jobs is the smaller of the
# started and the done ones among those not cancelled. The share of teams and of largest jobs (which are to
# start within four minutes) is that of started jobs. A day also fails by a job that was left pending though
# there was capacity, by a start after a confirmed cancellation and by similar faults.
served() {
  command -v jq >/dev/null || { echo "jq is needed to read the days' reports" >&2; return 2; }
  local status=0 report line
  for report in "$@"; do
    if line=$(jq -re --argjson least $least --argjson look $look '
      def share(a; b): if b > 0 then ([1, a / b] | min) else 1 end;
      def worst: to_entries | min_by(.value);
      def told: . * 1000 | floor / 1000;
      (.classes | with_entries(.value |= (if .up != null then .up
        else ([share(.started; .jobs - .cancelled), share(.done; .jobs - .cancelled)] | min) end)) | worst) as $class
      | (.teams | with_entries(.value |= share(.started; .jobs)) | worst) as $team
      | ((.largest // {}) | with_entries(.value |= share(.started; .jobs)) | worst // {key: "-", value: 1}) as $largest
      | ([$class.value, $team.value, $largest.value] | min) as $low
      | "\(.scenario) seed \(.seed), \(.machines) machines: class \($class.key) \($class.value | told), team \($team.key) \($team.value | told), largest \($largest.key) \($largest.value | told)"
        + (if $low < $least then "  UNSERVED" elif $low < $look then "  (low)" else "" end)
        + (if (.idle.neglected // 0) > 0 then "  NEGLECTED \(.idle.neglected)" else "" end)
        + ((.idle.slips // {}) | if . != {} then "  SLIPS \(.)" else "" end)' "$report" 2>&1); then
      echo "$line"
      [[ ! $line =~ UNSERVED|NEGLECTED|SLIPS ]] || status=1
    else
      echo "$report: not a day's report: $line" >&2
      status=1
    fi
  done
  return $status
}

# play SITE...: runs all days of the sites and prints who was served least.
play() {
  local reports site day status=0
  reports=$(mktemp -d -t regress.XXXXXX)
  for site in "$@"; do
    while read -r day; do
      printf '%s\0%s\0' "$site" "$day"
    done < <(awk '/^\[\[day\]\]/ { d = 1 } d && /^name/ { gsub(/.* = "|"$/, ""); print; d = 0 }' "$site")
  done | xargs -0 -n 2 -P 6 bash -c '"$0" run "$3" "$4" --why "$2" --report "$1/$(basename "$3" .toml)-$4.json" >/dev/null' "$bench" "$reports" "$why" ||
    { echo "a day could not be played" >&2; status=1; }
  served "$reports"/*.json || status=1
  return $status
}

# own: runs the days in docs/days/SITE, each with several seeds. The figure and the broken rules of each day
# go to the output of the run, which compare reads.
own() {
  local printed site day seed status=0
  printed=$(mktemp -d -t regress.XXXXXX)
  for site in "${hunted[@]}"; do
    for day in docs/days/"$(basename "$site" .toml)"/*.toml; do
      for seed in "${seeds[@]}"; do
        printf '%s\0%s\0%s\0' "$site" "$day" "$seed"
      done
    done
  done | xargs -0 -n 3 -P 6 bash -c '"$0" run "$3" "$4" --seed "$5" --why "$2" >"$1/$(basename "$3" .toml)-$(basename "$4" .toml)-$5" 2>&1' "$bench" "$printed" "$why" ||
    { echo "a day of our own could not be played" >&2; status=1; }
  for day in "$printed"/*; do
    echo "== $(basename "$day")"
    grep -hE '^[^ ].* [0-9]+ +[01]\.[0-9]+ +[0-9]+/[0-9]+|rules broken|^ +[0-9.]+ s [a-z_]+:|^  fleet:' "$day" ||
      echo "NO FIGURE was printed"
  done | tee -a "$out"
  return $status
}

keep() {
  local new site mode now
  new=$(figures "$1")
  [ -n "$new" ] || { echo "no figure in $1" >&2; exit 2; }
  {
    grep '^#' "$kept"
    { echo "$new"; grep -v '^#' "$kept" || true; } | awk '!seen[$1, $2]++' | sort
  } >"$kept.new" && mv "$kept.new" "$kept"
}

why=${2:-}
case "${1:-}" in
  quick | fleet | full | days) ;;
  compare | keep)
    [ -r "$why" ] || usage
    "$1" "$why"
    exit
    ;;
  served)
    [ -r "$why" ] || usage
    shift
    served "$@"
    exit
    ;;
  *) usage ;;
esac
if [ ! -x "$bench" ]; then
  echo "the users' bench is not here ($bench): nothing was run" >&2
  exit 2
fi
sites=("${smaller[@]}")
[ "$1" = quick ] || sites+=("${fleet[@]}" "${hunted[@]}")
why=${why:-regression run, $1}
out=$(mktemp -t regress.XXXXXX)
failed=0
if [ "$1" = days ]; then
  own || failed=1
  if grep -nE "$broken" "$out"; then failed=1; fi
  exit $failed
fi
if [ "$1" = full ]; then
  "$bench" score "${sites[@]}" --why "$why" | tee "$out" || failed=1
  for site in "${sites[@]}"; do
    "$bench" hunt "$site" --days 8 --why "$why" | tee -a "$out" || failed=1
  done
else
  "$bench" score "${sites[@]}" --quick --why "$why" | tee "$out" || failed=1
fi
[ "$1" = quick ] || { echo "== days of our own"; own || failed=1; }
[ "$1" != fleet ] || for site in "${hunted[@]}"; do
  "$bench" hunt "$site" --days 2 --why "$why" | tee -a "$out" || failed=1
done
[ "$1" = quick ] || { echo "== who was served least"; play "${fleet[@]}" "$harbour" || failed=1; }
echo "== compared with $kept (printed: $out)"
compare "$out" || failed=1
exit $failed
