#!/usr/bin/env bash
# Checks every model, and that its property is violated if a guard that it
# depends on is removed.
set -euo pipefail
cd "$(dirname "$0")/.."
failures=0

expect() { # EXPECTED FILE [GUARD ...]
  local expected=$1 result
  shift
  result=$(Meta/model.sh "$@")
  printf '%-9s %s (%s)\n' "$expected" "$*" "$result"
  [[ $result == "$expected"* ]] || { echo "  FAILED"; failures=$((failures + 1)); }
}

expect holds Proofs/lease.pml -DCHECKS_FENCING=1
expect holds Proofs/lease.pml -DCHECKS_FENCING=0
expect violated Proofs/lease.pml -DCHECKS_FENCING=0 -DNO_FORMER_HOLDER_WAIT
expect violated Proofs/lease.pml -DCHECKS_FENCING=0 -DNO_INTENT_ADOPTION
expect violated Proofs/lease.pml -DCHECKS_FENCING=0 -DNO_ORDER_NUMBERS
# With a fencing check, either the raised fence or the adoption of the recorded
# intent suffices.
expect holds Proofs/lease.pml -DCHECKS_FENCING=1 -DNO_FENCE
expect holds Proofs/lease.pml -DCHECKS_FENCING=1 -DNO_INTENT_ADOPTION
expect violated Proofs/lease.pml -DCHECKS_FENCING=1 -DNO_INTENT_ADOPTION \
  -DNO_FENCE
expect holds Proofs/order-lease.pml
for guard in SUSPENSION ERA_CHECK ERA_IN_FENCE TAKEOVER_WAIT VALIDITY; do
  expect violated Proofs/order-lease.pml -DNO_$guard
done
expect holds Proofs/key-revocation.pml
for guard in BOOT_CLOCK QUESTION_TIME WATCHER_AGE VERSION_CHECK AGE_CHECK; do
  expect violated Proofs/key-revocation.pml -DNO_$guard
done
expect holds Proofs/draining.pml
expect violated Proofs/draining.pml -DNO_IDLE_CONDITION
# The engine's idle condition alone suffices for safety. Without acknowledgements
# orders would rarely succeed under load, which the process tests cover.
expect holds Proofs/draining.pml -DNO_ACKNOWLEDGEMENT
expect violated Proofs/draining.pml -DNO_IDLE_CONDITION -DNO_IDLE_REPORT
expect violated Proofs/draining.pml -DNO_IDLE_CONDITION -DNO_ACKNOWLEDGEMENT

[ $failures -eq 0 ] || { echo "$failures model checks had an unexpected result"; exit 1; }
