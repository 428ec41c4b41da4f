#!/usr/bin/env bash
# Measures what whole idle instances cost: processor time and memory before
# growing numbers of engines (all behind one stand-in) and among growing numbers
# of instances.
set -uo pipefail
export DOTTEREL_PORT_BASE=${DOTTEREL_PORT_BASE:-23000}
cd "$(dirname "$0")/.."
source Tests/Process/Support.sh
span=8

ticks() { awk '{print $14 + $15}' "/proc/$(pid_of instance1)/stat"; }
sent_bytes() { # over all TCP connections of loopback
  awk '/IpExt:/ && ++n == 2 {print $9}' /proc/net/netstat
}
report() { # LABEL INSTANCES
  local before after bytes
  sleep 4
  before=$(ticks)
  bytes=$(sent_bytes)
  sleep $span
  after=$(ticks)
  bytes=$(($(sent_bytes) - bytes))
  awk -v l="$1" -v t=$((after - before)) -v s=$span -v b="$bytes" \
    -v k="$(awk '/VmRSS/ {print $2}' "/proc/$(pid_of instance1)/status")" 'BEGIN {
    printf "%s: %.4f of a core, %d KB resident, %.1f KB/s on loopback in all\n",
      l, t / 100 / s, k, b / s / 1024}'
}
restart() { # INSTANCES ENGINES
  start_fleet "$1" "$2" 1 true >/dev/null 2>&1
}
for engines in 1 100 300 900; do
  write_many() {
    write_configuration "$engines" 1 true
    sed -i -E "s/\"address\": \"[0-9.:]*\",( *)\"failureDomain\"/&/" \
      "$fleet_dir/configuration.json"
  }
  start_platform
  write_many
  # Every engine stands behind the one stand-in.
  awk -v one="$(address 11)" '{
    while (match($0, /"id": "e[0-9]+", "address": "[0-9.:]+"/)) {
      head = substr($0, 1, RSTART - 1)
      item = substr($0, RSTART, RLENGTH)
      sub(/"address": "[0-9.:]+"/, "\"adress\": \"" one "\"", item)
      out = out head item
      $0 = substr($0, RSTART + RLENGTH)
    }
    gsub(/"adress"/, "\"address\"", out)
    print out $0
    out = ""}' "$fleet_dir/configuration.json" >"$fleet_dir/many.json"
  $program apply --object-api "$(address 0)" --revision 0 \
    --file "$fleet_dir/many.json" >/dev/null 2>&1 || echo "not applied"
  start_engine 1 true
  list_instances 1
  start_instance 1
  report "engines $engines, instances 1"
  stop_fleet
  fleet_dir=$(mktemp -d)
  fleet_pids=()
done
for instances in 2 6 12 18; do
  restart $instances 2
  report "engines 2, instances $instances"
  stop_fleet
  fleet_dir=$(mktemp -d)
  fleet_pids=()
done
