#!/usr/bin/env bash
# The regression runs on the users' bench; CONTRIBUTING.md tells which before what.
#
#   ./regress.sh quick [WHY]    the two roughest days of each of the three smaller sites
#   ./regress.sh fleet [WHY]    the same, and of the two fleet and the two hunt sites; all days of
#                               the fleet and of the harbour are played, our own days (docs/days)
#                               with three seeds, and the hunt sites are hunted a little
#   ./regress.sh full  [WHY]    all seven in full, and a hunt on each; the same days as well
#   ./regress.sh days  [WHY]    our own days alone
#   ./regress.sh served REPORT...  days' reports (fleetbench run --report): who was served least
#   ./regress.sh compare FILE   what a run printed earlier, compared again
#   ./regress.sh keep FILE      makes the figures in FILE the ones to compare with
#
# Exit status: 0 nothing fell, 1 a rule broke, a day failed or a figure fell by more
# than 0.03 against docs/regression.txt, or a class of jobs or a team was served by less
# than half on a day that was played, 2 it could not be run.
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
# What the bench prints where a rule broke, and we where nothing came of a day.
broken='BROKEN|rules broken|NO FIGURE'

usage() { sed -n '2,18s/^# \{0,1\}//p' "$0" >&2; exit 2; }

# figures FILE: "site mode figure" for each site scored in what a run printed.
figures() {
  sed -nE -e 's/^quick estimate on the standard days of ([^ ]+) .*: ([0-9.]+),? ?.*$/\1 quick \2/p' \
    -e 's/^score on the standard days of ([^ ]+) .*: ([0-9.]+),? ?.*$/\1 full \2/p' "$1"
}

# compare FILE: every figure against the kept one, and all that failed outright.
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
  # The bench names broken rules, and counts a day that failed as 0.00; "0 with a
  # rule broken" is a hunt's all-clear.
  if grep -nE "$broken"'|[1-9][0-9]* with a rule broken|missed (rules|node_restarts)|^[^ ].* [0-9]+ +0\.00 +[0-9]+/[0-9]+' "$1"; then
    echo "a rule broke or a day failed: see above" >&2
    status=1
  fi
  return $status
}

# A day fails if less than half of any one class, team or class's largest jobs is served; below
# the second figure it is worth a look.
least=0.5
look=0.65

# served REPORT...: for each day the class, the team and the class's largest jobs that were served
# least. Of services the share of replica time counts, of other jobs the smaller of those that
# began and those that were done, of all that were not cancelled; of teams and of largest jobs (to
# begin within four minutes) those that began. Also a job that was left waiting though there was
# room, a start after a confirmed cancellation and the like fail a day.
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

# play SITE...: all days of sites, and who was served least.
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

# own: the days in docs/days/SITE, with several seeds; what a day was worth and what broke on
# it goes to the run's output, which compare reads.
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
