#!/usr/bin/env bash
# Measures the latency that an instance adds to a streamed call, against direct
# connections to the stand-in engine in the same run, and the resident memory of
# an instance with idle streams.
set -euo pipefail
cd "$(dirname "$0")/.."
export DOTTEREL_PORT_BASE=${DOTTEREL_PORT_BASE:-20000}
requests=${1:-2000}
source Tests/Process/Support.sh
set -e
decode_ms=1
start_fleet 1 1 1 true 2>/dev/null

load() { build/dotterel-load "$@"; }
field() { grep -o "\"$1\":[0-9.]*" | cut -d: -f2; }
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$(pid_of instance1)/status"; }

for round in $(seq 1 "${2:-3}"); do
  direct=$(load --address "$(address 11)" --requests "$requests" --tokens 5)
  proxied=$(load --address "$(address 101)" --requests "$requests" --tokens 5)
  for name in first_token_ms_p50 first_token_ms_p95 between_tokens_ms_p50 \
    whole_ms_p50; do
    awk -v name=$name -v d="$(field $name <<<"$direct")" \
      -v p="$(field $name <<<"$proxied")" -v round=$round 'BEGIN {
      printf "round %d %-22s direct %.3f proxied %.3f added %.3f ms\n",
        round, name, d, p, p - d}'
  done
done

# Restarts the fleet with an engine that pauses 100 ms between tokens, so that
# streams are mostly idle.
stop_fleet
fleet_dir=$(mktemp -d)
fleet_pids=()
decode_ms=100
deadline_ms=120000
start_fleet 1 1 1 true 2>/dev/null
for streams in 0 250 500 1000; do
  pid=''
  if [ $streams -gt 0 ]; then
    load --address "$(address 101)" --streams $streams --requests $streams \
      --tokens 8 >"$fleet_dir/idle" &
    pid=$!
    sleep 2.5
  fi
  printf 'streams %-5s resident %s KB, calls in progress %s\n' $streams \
    "$(resident_kb)" "$(curl -sf "http://$(address 101)/metrics" |
      awk '/^dotterel_calls_in_progress/ {print $2}')"
  [ -z "$pid" ] || { wait $pid; cat "$fleet_dir/idle"; }
done
