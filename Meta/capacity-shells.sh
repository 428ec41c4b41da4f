#!/usr/bin/env bash
# Measures processor time, memory and traffic of an idle instance, for growing
# numbers of engines (all at the address of one stand-in) and of instances.
set -uo pipefail
export DOTTEREL_PORT_BASE=${DOTTEREL_PORT_BASE:-23000}
cd "$(dirname "$0")/.."
source Tests/Process/Support.sh
measurement_seconds=8

cpu_ticks() { awk '{print $14 + $15}' "/proc/$(pid_of instance1)/stat"; }
sent_bytes() { # over all connections of the network namespace
  awk '/IpExt:/ && ++n == 2 {print $9}' /proc/net/netstat
}
report() { # LABEL
  local before after bytes
  sleep 4
  before=$(cpu_ticks)
  bytes=$(sent_bytes)
  sleep $measurement_seconds
  after=$(cpu_ticks)
  bytes=$(($(sent_bytes) - bytes))
  awk -v l="$1" -v t=$((after - before)) -v s=$measurement_seconds -v b="$bytes" \
    -v k="$(awk '/VmRSS/ {print $2}' "/proc/$(pid_of instance1)/status")" 'BEGIN {
    printf "%s: %.4f of a core, %d KB resident, %.1f KB/s on loopback in total\n",
      l, t / 100 / s, k, b / s / 1024}'
}
start_quietly() { # INSTANCES ENGINES
  start_fleet "$1" "$2" 1 true >/dev/null 2>&1
}
for engines in 1 100 300 900; do
  write_many_engines() {
    write_configuration "$engines" 1 true
    sed -i -E "s/\"address\": \"[0-9.:]*\",( *)\"failureDomain\"/&/" \
      "$fleet_dir/configuration.json"
  }
  start_platform
  write_many_engines
  # Gives every engine the address of the one stand-in.
  awk -v one="$(address 11)" '{
    while (match($0, /"id": "e[0-9]+", "address": "[0-9.:]+"/)) {
      head = substr($0, 1, RSTART - 1)
      item = substr($0, RSTART, RLENGTH)
      sub(/"address": "[0-9.:]+"/, "\"rewritten\": \"" one "\"", item)
      out = out head item
      $0 = substr($0, RSTART + RLENGTH)
    }
    gsub(/"rewritten"/, "\"address\"", out)
    print out $0
    out = ""}' "$fleet_dir/configuration.json" >"$fleet_dir/many.json"
  $program apply --object-api "$(address 0)" --revision 0 \
    --file "$fleet_dir/many.json" >/dev/null 2>&1 || echo "the configuration was not applied"
  start_engine 1 true
  list_instances 1
  start_instance 1
  report "engines $engines, instances 1"
  stop_fleet
  fleet_dir=$(mktemp -d)
  fleet_pids=()
done
for instances in 2 6 12 18; do
  start_quietly $instances 2
  report "engines 2, instances $instances"
  stop_fleet
  fleet_dir=$(mktemp -d)
  fleet_pids=()
done
