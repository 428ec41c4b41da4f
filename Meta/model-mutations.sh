#!/usr/bin/env bash
# Checks every model, and shows that each property fails when one of its
# guards is taken out.
set -euo pipefail
cd "$(dirname "$0")/.."
failures=0

expect() { # WANTED FILE [GUARD ...]
  local wanted=$1 found
  shift
  found=$(Meta/model.sh "$@")
  printf '%-9s %s (%s)\n' "$wanted" "$*" "$found"
  [[ $found == "$wanted"* ]] || { echo "  FAILED"; failures=$((failures + 1)); }
}

expect holds Proofs/authority.pml -DCHECKS_FENCING=1
expect holds Proofs/authority.pml -DCHECKS_FENCING=0
expect violated Proofs/authority.pml -DCHECKS_FENCING=0 -DNO_FORMER_HOLDERS
expect violated Proofs/authority.pml -DCHECKS_FENCING=0 -DNO_INTENT_FOLLOWING
expect violated Proofs/authority.pml -DCHECKS_FENCING=0 -DNO_ORDER_NUMBERS
# The raised fence and the following of intents each suffice alone.
expect holds Proofs/authority.pml -DCHECKS_FENCING=1 -DNO_FENCE
expect holds Proofs/authority.pml -DCHECKS_FENCING=1 -DNO_INTENT_FOLLOWING
expect violated Proofs/authority.pml -DCHECKS_FENCING=1 -DNO_INTENT_FOLLOWING \
  -DNO_FENCE
expect holds Proofs/draining.pml
expect violated Proofs/draining.pml -DNO_IDLE_CONDITION
# The engine's own condition suffices for safety; the acknowledgements are what
# makes an order succeed under load, which the process tests show.
expect holds Proofs/draining.pml -DNO_ACKNOWLEDGEMENT
expect violated Proofs/draining.pml -DNO_IDLE_CONDITION -DNO_IDLE_REPORT
expect violated Proofs/draining.pml -DNO_IDLE_CONDITION -DNO_ACKNOWLEDGEMENT

[ $failures -eq 0 ] || { echo "$failures models did not behave as expected"; exit 1; }
