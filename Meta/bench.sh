#!/usr/bin/env bash
# Runs the decision bench and prints one line of JSON per run:
#   Meta/bench.sh --scenario FILE --seed N [--policy NAME|all]
# or prints a table of the median and worst goodput of every scenario and
# policy over a number of seeds:
#   Meta/bench.sh --table [--seeds N] [--policies "own prefix-hash"]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != --table ]; then
  exec build/dotterel-bench "$@"
fi
shift
seeds=5 policies='own prefix-hash least-outstanding least-reported round-robin'
while [ $# -gt 0 ]; do
  case $1 in
  --seeds) seeds=$2 ;;
  --policies) policies=$2 ;;
  *) echo "unknown option '$1'" >&2; exit 2 ;;
  esac
  shift 2
done
for scenario in Bench/scenarios/*.json; do
  for seed in $(seq 1 "$seeds"); do
    for policy in $policies; do
      echo "--scenario $scenario --seed $seed --policy $policy"
    done
  done
done | xargs -P "$(nproc)" -I{} sh -c 'build/dotterel-bench {}' |
  sed -E 's/.*"bound":([0-9.]+).*"goodput":([0-9.]+),"late":([0-9]+).*"policy":"([a-z-]+)".*"rejected":([0-9]+).*"retries":([0-9]+).*"scenario":"([a-z-]+)".*"violations":([0-9]+).*/\7 \4 \2 \1 \3 \5 \6 \8/' |
  sort | awk '
    {key = $1 " " $2; if (key != last) {show(); last = key; n = 0; late = 0;
       rejected = 0; retries = 0; violations = 0}
     goodput[n++] = $3; bound = $4; late += $5; rejected += $6; retries += $7
     violations += $8}
    function show() {if (n) printf "%-32s %-18s median %.3f worst %.3f bound %.3f late %d rejected %d retries %d violations %d\n",
       substr(last, 1, index(last, " ") - 1), substr(last, index(last, " ") + 1),
       goodput[int(n / 2)], goodput[0], bound, late / n, rejected / n,
       retries / n, violations}
    END {show()}'
