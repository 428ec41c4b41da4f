#!/usr/bin/env bash
# Planned changes and failures of engines and instances under load cut nothing.
decode_ms=10
source "$(dirname "$0")/Support.sh"
start_fleet 3 4 1 true

stream 1 200 'the reference' "$fleet_dir/reference"
check Reference is_whole "$fleet_dir/reference" 200

# Starts COUNT streams of one prompt over the instances, into PREFIX-n.
start_streams() { # PREFIX COUNT TOKENS PROMPT
  local n
  streams=()
  for n in $(seq 1 "$2"); do
    stream $((1 + n % 3)) "$3" "$4" "$fleet_dir/$1-$n" &
    streams+=($!)
  done
}

all_whole() { # PREFIX COUNT TOKENS REFERENCE
  local n bad=0
  wait "${streams[@]}"
  for n in $(seq 1 "$2"); do
    is_whole "$fleet_dir/$1-$n" "$3" || bad=1
    equals "$(text_of "$4")" "$(text_of "$fleet_dir/$1-$n")" >/dev/null ||
      { echo "  the text of stream $n differs"; bad=1; }
  done
  return $bad
}

# A role change under load.
start_streams role 18 200 'the reference'
sleep 0.5
$program label --object-api "$(address 0)" engine e1 pool=prefill >/dev/null
check RoleChangeCutsNothing all_whole role 18 200 "$fleet_dir/reference"
role_is() { equals "$2" "$(engine_field "$1" role)"; }
check RoleChangeIsCarriedOut wait_for 20 role_is 1 prefill
check RoleChangeCutNoStreamAtTheEngine equals 0 "$(engine_field 1 cutByOrder)"

# And back.
$program label --object-api "$(address 0)" engine e1 pool=mixed >/dev/null
check RoleChangeBack wait_for 20 role_is 1 mixed
check TwoOrdersInAll equals 2 "$(engine_field 1 ordersAccepted)"

# A long stream outlasts the patience with a drain and is resumed elsewhere.
stream 1 1000 'the long one' "$fleet_dir/long-reference"
start_streams long 8 1000 'the long one'
sleep 0.5
$program label --object-api "$(address 0)" engine e2 pool=prefill >/dev/null
check LongStreamsAreResumedElsewhere \
  all_whole long 8 1000 "$fleet_dir/long-reference"
check LongStreamsDoNotBlockTheChange wait_for 5 role_is 2 prefill

# An engine is killed.
start_streams crash 12 200 'the reference'
sleep 0.6
kill -KILL "$(pid_of engine3)"
check KilledEngineCutsNothing all_whole crash 12 200 "$fleet_dir/reference"
start_engine 3 true

# An engine stops answering but keeps its connections.
start_streams frozen 6 200 'the reference'
sleep 0.6
kill -STOP "$(pid_of engine4)"
check FrozenEngineCutsNothing all_whole frozen 6 200 "$fleet_dir/reference"
kill -CONT "$(pid_of engine4)"

# A crash halfway through an order.
control 11 '{"crashOnOrder": true}' >/dev/null
$program label --object-api "$(address 0)" engine e1 pool=prefill >/dev/null
check CrashMidOrderIsMended wait_for 40 role_is 1 prefill
$program label --object-api "$(address 0)" engine e1 pool=mixed >/dev/null
wait_for 20 role_is 1 mixed

# A rolling restart of all instances under load.
rolling_restart() {
  local n bad=0
  for n in 1 2 3; do
    start_streams "rolling$n" 12 200 'the reference'
    sleep 0.4
    kill -TERM "$(pid_of instance$n)"
    all_whole "rolling$n" 12 200 "$fleet_dir/reference" || bad=1
    wait "$(pid_of instance$n)" || { echo "  instance $n failed"; bad=1; }
    start_instance $n
    wait_for 15 all_alive 3 || bad=1
  done
  return $bad
}
check RollingRestartCutsNothing rolling_restart

# A leaving instance gets no new work though the list lags.
control 0 '{"listLagMs": 10000}' >/dev/null
start_streams leaving 3 600 'the long one'
sleep 0.3
kill -TERM "$(pid_of instance2)"
sleep 0.2
offers() { steering "$1" | grep -c "\"id\":\"i$2\""; }
check LeavingInstanceIsNotOffered equals '0 0' "$(offers 1 2) $(offers 3 2)"
sleep 2.8
check LateCallIsRedirected equals 307 "$(curl -s -o /dev/null -w '%{http_code}' \
  "http://$(address 102)/v1/completions" \
  -d '{"model": "roster", "prompt": "x", "max_tokens": 2}')"
wait "${streams[@]}"
check LeavingInstanceFinishesItsStreams is_whole "$fleet_dir/leaving-1" 600
wait "$(pid_of instance2)"
check LeavingInstanceExits equals 0 $?

finish
