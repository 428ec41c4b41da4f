#!/usr/bin/env bash
# Role changes are carried out, and no engine obeys a stale order, when the lease
# holder is paused or killed, and during an outage of the object API. The argument
# is true for engines that check the fencing number, false for engines that
# ignore it.
source "$(dirname "$0")/Support.sh"
checks=${1:-true}
suite+="-fencing-$checks"
start_fleet 3 3 1 "$checks"

role_is() { equals "$2" "$(engine_field "$1" role)"; }
relabel() { # ENGINE POOL
  $program label --object-api "$(address 0)" engine "e$1" "pool=$2" >/dev/null
}

# The lease holder is paused: the other instances serve calls, and the change is
# carried out after the pause.
holder=$(holder_of_any_shard)
kill -STOP "$(pid_of "instance$holder")"
relabel 1 prefill
other=$((holder % 3 + 1))
check PausedHolderDoesNotStopCalls equals 200 "$(complete $other 5)"
sleep 4
kill -CONT "$(pid_of "instance$holder")"
check ChangeIsCarriedOutAfterThePause wait_for 40 role_is 1 prefill

# The lease holder is killed during changes: another instance completes them.
relabel 1 mixed
relabel 2 prefill
holder=$(holder_of_any_shard)
kill -KILL "$(pid_of "instance$holder")"
check ChangesAreTakenOver1 wait_for 60 role_is 1 mixed
check ChangesAreTakenOver2 wait_for 60 role_is 2 prefill
start_instance "$holder"
wait_for 15 all_alive 3

# During an outage of the object API calls are served; a change made after the
# outage is carried out.
control 0 '{"outage": true}' >/dev/null
sleep 5
check OutageDoesNotStopCalls equals '200 200 200' \
  "$(complete 1 5) $(complete 2 5) $(complete 3 5)"
control 0 '{"outage": false}' >/dev/null
relabel 2 mixed
check ChangeAfterTheOutage wait_for 40 role_is 2 mixed

# Responses of the object API to writes are lost while leases are renewed and
# intents are recorded.
control 0 '{"loseAnswers": 12}' >/dev/null
sleep 2
relabel 3 prefill || true
check ChangeDespiteLostResponses wait_for 40 role_is 3 prefill
control 0 '{"loseAnswers": 0}' >/dev/null

check NoStaleOrderWasObeyed equals '0 0 0' "$(engine_field 1 staleOrdersObeyed
) $(engine_field 2 staleOrdersObeyed) $(engine_field 3 staleOrdersObeyed)"
check NoStreamWasAborted equals '0 0 0' "$(engine_field 1 cutByOrder
) $(engine_field 2 cutByOrder) $(engine_field 3 cutByOrder)"

finish
