#!/usr/bin/env bash
# Compares two ways to execute a booking at most once: keys with the prefix of
# an instance (which owns the key), and keys without a prefix (claim object).
# Prints completed and failed bookings, latency and object API calls, with the
# object API available and during an outage.
set -uo pipefail
export DOTTEREL_PORT_BASE=${DOTTEREL_PORT_BASE:-22000}
cd "$(dirname "$0")/.."
source Tests/Process/Support.sh
start_fleet 3 1 2 true 2>/dev/null
bookings=300

writes() { control 0 '{}' | grep -o '"writes":[0-9]*' | cut -d: -f2; }
reads() { control 0 '{}' | grep -o '"reads":[0-9]*' | cut -d: -f2; }
run_bookings() { # LABEL PREFIX
  local before after result idle
  before=$(($(writes) + $(reads)))
  result=$(build/dotterel-load --address "$(address 101)" \
    --path /services/booking/book --key-prefix "$2" --streams 4 \
    --requests $bookings)
  after=$(($(writes) + $(reads)))
  echo "$1: $(grep -o '"completed":[0-9]*\|"failed":[0-9]*\|"whole_ms_p50":[0-9.]*' \
    <<<"$result" | tr '\n' ' ')api calls $((after - before)) for $bookings bookings"
}
run_bookings 'owner instance, same   ' "$(key_prefix 1)x"
run_bookings 'owner instance, forward' "$(key_prefix 2)x"
run_bookings 'claim object           ' 'plain-'
control 0 '{"outage": true}' >/dev/null
run_bookings 'outage: owner, same    ' "$(key_prefix 1)y"
run_bookings 'outage: owner, forward ' "$(key_prefix 2)y"
run_bookings 'outage: claim object   ' 'plain2-'
control 0 '{"outage": false}' >/dev/null
