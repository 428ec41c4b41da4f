#!/usr/bin/env bash
# A booking runs at most once, and not-run is never said wrongly.
source "$(dirname "$0")/Support.sh"
start_fleet 3 2 2 true

prefix=$(key_prefix 2)
check TwoInstancesOneKey equals 'completed completed' \
  "$(book 1 "${prefix}a") $(book 3 "${prefix}a")"
check TwoInstancesOneExecution equals 1 "$(executions "${prefix}a")"

together() {
  local n pids=()
  for n in 1 2 3 1 2 3; do
    book $n "${prefix}b" >>"$fleet_dir/together" &
    pids+=($!)
  done
  wait "${pids[@]}"
  equals 6 "$(grep -c completed "$fleet_dir/together")"
}
check SixAtOnce together
check SixAtOnceOneExecution equals 1 "$(executions "${prefix}b")"

check WithoutPrefix equals 'completed completed' \
  "$(book 1 plain-a) $(book 3 plain-a)"
check WithoutPrefixOneExecution equals 1 "$(executions plain-a)"

for n in 31 32; do control $n '{"loseAnswers": 1}' >/dev/null; done
check LostAnswerIsUnknown equals unknown "$(book 1 "${prefix}c")"
check RetryAfterLostAnswerIsUnknown equals unknown "$(book 3 "${prefix}c")"
check LostAnswerOneExecution equals 1 "$(executions "${prefix}c")"
for n in 31 32; do control $n '{"loseAnswers": 0}' >/dev/null; done

control 0 '{"outage": true}' >/dev/null
check PrefixWorksThroughOutage equals completed "$(book 1 "${prefix}d")"
check PlainKeyIsUnknownInOutage equals unknown "$(book 1 plain-b)"
check PlainKeyDidNotRunInOutage equals 0 "$(executions plain-b)"
control 0 '{"outage": false}' >/dev/null

# The home is paused with the booking on its way to it.
kill -STOP "$(pid_of instance2)"
check PausedHomeIsUnknown equals unknown "$(book 1 "${prefix}e" 8)"
kill -CONT "$(pid_of instance2)"
sleep 1
check PausedHomeRanAtMostOnce \
  grep -qx '[01]' <(executions "${prefix}e")

# The home is killed between sending and the answer.
for n in 31 32; do control $n '{"delayMs": 1500}' >/dev/null; done
book 1 "${prefix}f" >"$fleet_dir/killed" &
booking=$!
# The service counts a booking when it arrives and answers it 1.5 s later.
arrived() { equals 1 "$(executions "${prefix}f")"; }
check KilledHomeHadSent wait_for 1 arrived
kill -KILL "$(pid_of instance2)"
wait $booking
check KilledHomeIsUnknown equals unknown "$(cat "$fleet_dir/killed")"
for n in 31 32; do control $n '{"delayMs": 0}' >/dev/null; done
start_instance 2
wait_for 15 all_alive 3
check RetryAfterKillIsUnknown equals unknown "$(book 3 "${prefix}f")"
check RestartedHomeDoesNotRunOldKeys equals unknown "$(book 2 "${prefix}f")"
check KilledHomeOneExecution equals 1 "$(executions "${prefix}f")"

for n in 1 2; do kill "$(pid_of service$n)"; done
sleep 0.3
prefix=$(key_prefix 2)
check NoServerIsNotRun equals not-run "$(book 1 "${prefix}g")"

finish
