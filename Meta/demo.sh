#!/usr/bin/env bash
# Demonstrates the system end to end on loopback: builds it, starts the
# stand-ins and three instances, makes calls, changes a label, and stops the
# instances gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
source Meta/fleet.sh
trap stop_fleet EXIT

announce() { printf '\n== %s\n' "$*"; }
fail() { printf 'demo failed: %s\n' "$*" >&2; exit 1; }

program=build/dotterelstream
standin=build/dotterel-standin

announce "starting the platform, 4 engines and 2 servers of the booking service"
start platform $standin platform --listen "$(address 0)"
for n in 1 2 3 4; do
  start "engine$n" $standin engine --listen "$(address $((10 + n)))" \
    --models roster,thread --platform "$(address 0)" --checks-fencing
done
for n in 1 2; do
  start "service$n" $standin service --name "booking-$n" \
    --listen "$(address $((20 + n)))"
done
wait_for 5 curl -sf "http://$(address 0)/objects/none/none?x" -o /dev/null ||
  wait_for 5 curl -s "http://$(address 0)/instances"

announce "applying a configuration"
sed "s/127.0.0.1:18/127.0.0.1:$((fleet_base / 1000))/" \
  Examples/demo-configuration.json >"$fleet_dir/configuration.json"
$program check --file "$fleet_dir/configuration.json"
$program apply --object-api "$(address 0)" --revision 0 \
  --file "$fleet_dir/configuration.json"

announce "starting 3 instances"
control 0 "{\"instances\": [$(list_entry 1 a), $(list_entry 2 b),
  $(list_entry 3 a)]}" >/dev/null
for n in 1 2 3; do
  write_settings $n "$([ $n = 2 ] && echo b || echo a)"
  $program check --settings "$fleet_dir/i$n.json" >/dev/null
  start "instance$n" $program serve --settings "$fleet_dir/i$n.json"
done
for n in 1 2 3; do
  wait_for 10 curl -sf "http://$(address $((100 + n)))/readyz" ||
    fail "instance $n is not ready"
done

all_listed() {
  [ "$(curl -sf "http://$(address 101)/v1/instances" |
    grep -o key_prefix | wc -l)" = 3 ]
}
announce "listing the instances that callers may use"
wait_for 10 all_listed || fail "instance 1 does not list all instances"
curl -sf "http://$(address 101)/v1/instances" | tee "$fleet_dir/steering"
echo

announce "streaming a completion"
complete() { # OFFSET STREAM
  curl -sf "http://$(address "$1")/v1/completions" -H 'Dotterel-Caller: dispatch' \
    -d "{\"model\": \"roster\", \"prompt\": \"Who can clean on Monday?\",
         \"max_tokens\": 8, \"stream\": $2}"
}
wait_for 10 complete 101 false || fail "no completion succeeded within 10 s"
complete 102 true | tee "$fleet_dir/stream"
[ "$(grep -c '"text"' "$fleet_dir/stream")" = 8 ] || fail "the stream does not have 8 tokens"
grep -q '"outcome":"completed"' "$fleet_dir/stream" || fail "the stream has no outcome 'completed'"

announce "booking twice with one idempotency key, at two instances"
prefix=$(grep -o '"key_prefix":"[^"]*' "$fleet_dir/steering" | head -1 |
  cut -d'"' -f4)
book() { # OFFSET
  curl -sf -i "http://$(address "$1")/services/booking/book" \
    -H 'Dotterel-Caller: dispatch' -H "Idempotency-Key: ${prefix}monday-9" \
    -d '{"household": 7}'
}
book 101 | grep -iE 'outcome|server'
echo
book 102 | grep -iE 'outcome|server'
echo
executions=$(for n in 1 2; do control $((20 + n)) '{}'; done |
  grep -o "${prefix}monday-9\":[0-9]*" | awk -F: "{n += \$2} END {print n + 0}")
echo "executions: $executions"
[ "$executions" = 1 ] || fail "the booking was executed $executions times"

announce "changing a label: engine e4 becomes a prefill engine"
$program label --object-api "$(address 0)" engine e4 pool=prefill
label_in_force() { # INSTANCE
  $program status --instance "$(address 10"$1")" --output json |
    grep -q '"revision":2' &&
    control 14 '{}' | grep -q '"role":"prefill"'
}
for n in 1 2 3; do
  wait_for 15 label_in_force $n || fail "the label is not in force at instance $n"
done
sleep 1
$program status --instance "$(address 101)"
$program explain --instance "$(address 101)" --caller dispatch --model roster

announce "stopping gracefully"
for n in 3 2 1; do
  pid="pid_instance$n"
  kill -TERM "${!pid}"
done
for n in 3 2 1; do
  pid="pid_instance$n"
  wait "${!pid}" || fail "instance $n did not stop gracefully"
  grep -q event=instance-stopped "$fleet_dir/instance$n.log" ||
    fail "the log of instance $n has no event instance-stopped"
done
printf '\ndemo passed\n'
