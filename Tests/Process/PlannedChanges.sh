#!/usr/bin/env bash
# Role changes, rolling restarts, and failures of engines and instances under load
# interrupt no stream and change no text.
decode_ms=10
source "$(dirname "$0")/Support.sh"
start_fleet 3 4 1 true

stream 1 200 'the reference' "$fleet_dir/reference"
check Reference is_complete "$fleet_dir/reference" 200

# Starts COUNT streams of one prompt, spread over the instances; stream N is
# written to the file PREFIX-N.
start_streams() { # PREFIX COUNT TOKENS PROMPT
  local n
  streams=()
  for n in $(seq 1 "$2"); do
    stream $((1 + n % 3)) "$3" "$4" "$fleet_dir/$1-$n" &
    streams+=($!)
  done
}

all_complete() { # PREFIX COUNT TOKENS REFERENCE
  local n failed=0
  wait "${streams[@]}"
  for n in $(seq 1 "$2"); do
    is_complete "$fleet_dir/$1-$n" "$3" || failed=1
    equals "$(text_of "$4")" "$(text_of "$fleet_dir/$1-$n")" >/dev/null ||
      { echo "  the text of stream $n differs from the reference"; failed=1; }
  done
  return $failed
}

# A role change under load.
start_streams role 18 200 'the reference'
sleep 0.5
$program label --object-api "$(address 0)" engine e1 pool=prefill >/dev/null
check RoleChangeInterruptsNoStream all_complete role 18 200 "$fleet_dir/reference"
role_is() { equals "$2" "$(engine_field "$1" role)"; }
check RoleChangeIsCarriedOut wait_for 20 role_is 1 prefill
check RoleChangeAbortedNoStreamAtTheEngine equals 0 "$(engine_field 1 cutByOrder)"

# The opposite role change.
$program label --object-api "$(address 0)" engine e1 pool=mixed >/dev/null
check OppositeRoleChangeIsCarriedOut wait_for 20 role_is 1 mixed
check TwoOrdersAccepted equals 2 "$(engine_field 1 ordersAccepted)"

# A stream that is longer than the time limit of a drain is resumed at another
# engine.
stream 1 1000 'the long one' "$fleet_dir/long-reference"
start_streams long 8 1000 'the long one'
sleep 0.5
$program label --object-api "$(address 0)" engine e2 pool=prefill >/dev/null
check LongStreamsAreResumedElsewhere \
  all_complete long 8 1000 "$fleet_dir/long-reference"
check LongStreamsDoNotBlockTheChange wait_for 5 role_is 2 prefill

# An engine is killed.
start_streams crash 12 200 'the reference'
sleep 0.6
kill -KILL "$(pid_of engine3)"
check KilledEngineInterruptsNoStream all_complete crash 12 200 "$fleet_dir/reference"
start_engine 3 true

# An engine stops responding but keeps its connections open.
start_streams frozen 6 200 'the reference'
sleep 0.6
kill -STOP "$(pid_of engine4)"
check FrozenEngineInterruptsNoStream all_complete frozen 6 200 "$fleet_dir/reference"
kill -CONT "$(pid_of engine4)"

# An engine crashes while it carries out an order.
control 11 '{"crashOnOrder": true}' >/dev/null
$program label --object-api "$(address 0)" engine e1 pool=prefill >/dev/null
check RoleChangeCompletesAfterCrash wait_for 40 role_is 1 prefill
$program label --object-api "$(address 0)" engine e1 pool=mixed >/dev/null
wait_for 20 role_is 1 mixed

# A rolling restart of all instances under load.
rolling_restart() {
  local n failed=0
  for n in 1 2 3; do
    start_streams "rolling$n" 12 200 'the reference'
    sleep 0.4
    kill -TERM "$(pid_of instance$n)"
    all_complete "rolling$n" 12 200 "$fleet_dir/reference" || failed=1
    wait "$(pid_of instance$n)" ||
      { echo "  instance $n did not exit with 0"; failed=1; }
    start_instance $n
    wait_for 15 all_alive 3 || failed=1
  done
  return $failed
}
check RollingRestartInterruptsNoStream rolling_restart

# A leaving instance is not offered to callers, although the instance list still
# has it.
control 0 '{"listLagMs": 10000}' >/dev/null
start_streams leaving 3 600 'the long one'
sleep 0.3
kill -TERM "$(pid_of instance2)"
sleep 0.2
offers() { list_offered "$1" | grep -c "\"id\":\"i$2\""; }
check LeavingInstanceIsNotOffered equals '0 0' "$(offers 1 2) $(offers 3 2)"
sleep 2.8
check LateCallIsRedirected equals 307 "$(curl -s -o /dev/null -w '%{http_code}' \
  "http://$(address 102)/v1/completions" \
  -d '{"model": "roster", "prompt": "x", "max_tokens": 2}')"
wait "${streams[@]}"
check LeavingInstanceFinishesItsStreams is_complete "$fleet_dir/leaving-1" 600
wait "$(pid_of instance2)"
check LeavingInstanceExits equals 0 $?

finish
