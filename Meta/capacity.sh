#!/usr/bin/env bash
# Measures the figures that docs/CAPACITY.md is based on: processor time and
# memory of one instance's reducer for growing numbers of engines, at the load
# of one instance at the design size.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
field() { grep -o "\"$1\":[0-9.e-]*" <<<"$2" | cut -d: -f2; }
run_scenario() { # INSTANCES ENGINES RATE
  cat >"$work/scenario.json" <<JSON
{"name": "design-size", "lengthSeconds": 20, "instances": $1, "reportLagMs": 100,
 "engines": {"count": $2, "prefillTokensPerSecond": 9000, "decodeBaseMs": 12,
             "decodePerRequestMs": 0.4},
 "classes": [{"name": "mixed", "caller": "caller", "deadlineMs": 60000,
   "promptTokens": [200, 2000], "outputTokens": [230, 630],
   "sharedPrefixes": 100, "prefixTokens": 4000}],
 "phases": [{"untilSeconds": 20, "rates": {"mixed": $3}}]}
JSON
  build/dotterel-bench --scenario "$work/scenario.json"
}
for engines in 100 310 1000 3100; do
  one=$(run_scenario 1 $engines 10.6)
  four=$(run_scenario 4 $engines 42.4)
  printf 'engines %-5s decision p50 %.1f p99 %.1f us  reducer %.4f of a core  events/s %.0f  state %.2f KB per engine\n' \
    $engines "$(field decision_us_p50 "$one")" "$(field decision_us_p99 "$one")" \
    "$(field reducer_share_of_a_core "$one")" \
    "$(awk -v n="$(field reduced_events "$one")" 'BEGIN {print n / 83}')" \
    "$(awk -v a="$(field resident_kb "$one")" -v b="$(field resident_kb "$four")" \
      -v n=$engines 'BEGIN {print (b - a) / 3 / n}')"
done
