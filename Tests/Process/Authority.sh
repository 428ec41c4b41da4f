#!/usr/bin/env bash
# Orders under pauses, outages and takeovers; engines that check the fencing
# number and engines that ignore it.
source "$(dirname "$0")/Support.sh"
checks=${1:-true}
suite+="-fencing-$checks"
start_fleet 3 3 1 "$checks"

role_is() { equals "$2" "$(engine_field "$1" role)"; }
relabel() { # ENGINE POOL
  $program label --object-api "$(address 0)" engine "e$1" "pool=$2" >/dev/null
}

# The holder is paused; the other instances go on, the change waits for it.
holder=$(holder_of_any_shard)
kill -STOP "$(pid_of "instance$holder")"
relabel 1 prefill
other=$((holder % 3 + 1))
check PausedHolderDoesNotStopCalls equals 200 "$(complete $other 5)"
sleep 4
kill -CONT "$(pid_of "instance$holder")"
check ChangeIsCarriedOutAfterThePause wait_for 40 role_is 1 prefill

# The holder is killed in the middle of changes.
relabel 1 mixed
relabel 2 prefill
holder=$(holder_of_any_shard)
kill -KILL "$(pid_of "instance$holder")"
check ChangesAreTakenOver1 wait_for 60 role_is 1 mixed
check ChangesAreTakenOver2 wait_for 60 role_is 2 prefill
start_instance "$holder"
wait_for 15 all_alive 3

# The object API is out: calls go on; orders wait; then the change comes.
control 0 '{"outage": true}' >/dev/null
sleep 5
check OutageDoesNotStopCalls equals '200 200 200' \
  "$(complete 1 5) $(complete 2 5) $(complete 3 5)"
control 0 '{"outage": false}' >/dev/null
relabel 2 mixed
check ChangeAfterTheOutage wait_for 40 role_is 2 mixed

# Answers of writes are lost while leases are renewed and intents recorded.
control 0 '{"loseAnswers": 12}' >/dev/null
sleep 2
relabel 3 prefill || true
check ChangeThroughLostAnswers wait_for 40 role_is 3 prefill
control 0 '{"loseAnswers": 0}' >/dev/null

check NoStaleOrderWasObeyed equals '0 0 0' "$(engine_field 1 staleOrdersObeyed
) $(engine_field 2 staleOrdersObeyed) $(engine_field 3 staleOrdersObeyed)"
check NoStreamWasCut equals '0 0 0' "$(engine_field 1 cutByOrder
) $(engine_field 2 cutByOrder) $(engine_field 3 cutByOrder)"

finish
