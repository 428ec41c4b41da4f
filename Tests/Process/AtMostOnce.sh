#!/usr/bin/env bash
# A booking is executed at most once, and the outcome not-run is reported only
# if the booking was not executed. This also holds when several instances receive
# it at the same time, during outages, when responses are lost, and when instances
# are paused or killed.
source "$(dirname "$0")/Support.sh"
start_fleet 3 2 2 true

prefix=$(key_prefix 2)
check TwoInstancesOneKey equals 'completed completed' \
  "$(book 1 "${prefix}a") $(book 3 "${prefix}a")"
check TwoInstancesOneExecution equals 1 "$(executions "${prefix}a")"

concurrent_bookings() {
  local n pids=()
  for n in 1 2 3 1 2 3; do
    book $n "${prefix}b" >>"$fleet_dir/concurrent" &
    pids+=($!)
  done
  wait "${pids[@]}"
  equals 6 "$(grep -c completed "$fleet_dir/concurrent")"
}
check SixConcurrentBookings concurrent_bookings
check SixConcurrentBookingsOneExecution equals 1 "$(executions "${prefix}b")"

check WithoutPrefix equals 'completed completed' \
  "$(book 1 plain-a) $(book 3 plain-a)"
check WithoutPrefixOneExecution equals 1 "$(executions plain-a)"

for n in 31 32; do control $n '{"loseAnswers": 1}' >/dev/null; done
check LostResponseIsUnknown equals unknown "$(book 1 "${prefix}c")"
check RetryAfterLostResponseIsUnknown equals unknown "$(book 3 "${prefix}c")"
check LostResponseOneExecution equals 1 "$(executions "${prefix}c")"
for n in 31 32; do control $n '{"loseAnswers": 0}' >/dev/null; done

control 0 '{"outage": true}' >/dev/null
check PrefixedKeyWorksInOutage equals completed "$(book 1 "${prefix}d")"
check PlainKeyIsUnknownInOutage equals unknown "$(book 1 plain-b)"
check PlainKeyIsNotExecutedInOutage equals 0 "$(executions plain-b)"
control 0 '{"outage": false}' >/dev/null

# The instance that owns the key is paused while the booking is forwarded to it.
kill -STOP "$(pid_of instance2)"
check PausedOwnerIsUnknown equals unknown "$(book 1 "${prefix}e" 8)"
kill -CONT "$(pid_of instance2)"
sleep 1
check PausedOwnerExecutesAtMostOnce \
  grep -qx '[01]' <(executions "${prefix}e")
# A key whose owner is not connected to its peers gets the outcome unknown
# immediately.
check ResumedOwnerIsAliveAgain wait_for 15 all_alive 3

# The instance that owns the key is killed after it sent the booking to the
# service and before it received the response.
for n in 31 32; do control $n '{"delayMs": 1500}' >/dev/null; done
book 1 "${prefix}f" >"$fleet_dir/killed" &
booking=$!
# The service counts a booking when it arrives and responds 1.5 s later.
arrived() { equals 1 "$(executions "${prefix}f")"; }
check KilledOwnerSentTheBooking wait_for 1 arrived
kill -KILL "$(pid_of instance2)"
wait $booking
check KilledOwnerIsUnknown equals unknown "$(cat "$fleet_dir/killed")"
for n in 31 32; do control $n '{"delayMs": 0}' >/dev/null; done
start_instance 2
wait_for 15 all_alive 3
check RetryAfterKillIsUnknown equals unknown "$(book 3 "${prefix}f")"
check RestartedOwnerDoesNotExecuteOldKeys equals unknown "$(book 2 "${prefix}f")"
check KilledOwnerOneExecution equals 1 "$(executions "${prefix}f")"

for n in 1 2; do kill "$(pid_of service$n)"; done
sleep 0.3
prefix=$(key_prefix 2)
check BookingWithoutServerIsNotRun equals not-run "$(book 1 "${prefix}g")"

finish
