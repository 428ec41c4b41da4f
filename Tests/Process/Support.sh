# Functions of the process tests: a fleet of processes on loopback, and checks
# that print their results for Meta/test.sh to count. Sourced by each test file.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
source Meta/fleet.sh
trap stop_fleet EXIT

program=build/dotterelstream
standin=build/dotterel-standin
suite=$(basename "$0" .sh)

check() { # NAME COMMAND...
  local name=$1
  shift
  if "$@"; then
    echo "ok - $suite::$name"
  else
    echo "not ok - $suite::$name"
  fi
}

# The last line of each test file: Meta/test.sh fails if a file ended before it.
finish() { echo "ok - $suite::RanToItsEnd"; }

equals() { # EXPECTED ACTUAL
  [ "$1" = "$2" ] || { echo "  expected '$1', got '$2'"; return 1; }
}

# Writes a configuration: ENGINES SERVERS CHECKS-FENCING.
write_configuration() {
  local engines='' servers='' n separator
  for n in $(seq 1 "$1"); do
    separator=$([ "$n" = 1 ] || echo ,)
    engines+="$separator{\"id\": \"e$n\", \"address\": \"$(address $((10 + n)))\",
      \"failureDomain\": \"a\", \"labels\": {\"pool\": \"mixed\"},
      \"checksFencing\": $3}"
  done
  for n in $(seq 1 "$2"); do
    separator=$([ "$n" = 1 ] || echo ,)
    servers+="$separator{\"id\": \"b$n\", \"service\": \"booking\",
      \"address\": \"$(address $((30 + n)))\", \"failureDomain\": \"a\"}"
  done
  cat >"$fleet_dir/configuration.json" <<JSON
{"engines": [$engines], "servers": [$servers],
 "services": [{"name": "booking", "idempotentPaths": ["/availability"]}],
 "models": [{"name": "roster"}],
 "callers": [{"name": "dispatch", "labels": {"tier": "gold"}}],
 "routes": [
   {"name": "rosters", "callers": "", "models": "", "servers": "",
    "class": "interactive", "deadlineMs": ${deadline_ms:-20000}},
   {"name": "bookings", "callers": "", "services": "", "servers": "",
    "class": "booking", "deadlineMs": 5000}],
 "engineRules": [
   {"name": "mixed", "engines": "pool=mixed", "models": "", "role": "mixed"},
   {"name": "prefill", "engines": "pool=prefill", "models": "",
    "role": "prefill"}]}
JSON
}

start_platform() {
  start platform $standin platform --listen "$(address 0)" --list-lag-ms 300
  wait_for 5 curl -s "http://$(address 0)/instances"
}

start_engine() { # NUMBER CHECKS-FENCING
  local flag=''
  [ "$2" = true ] && flag=--checks-fencing
  # shellcheck disable=SC2086
  start "engine$1" $standin engine --listen "$(address $((10 + $1)))" \
    --models roster --platform "$(address 0)" --decode-ms "${decode_ms:-5}" \
    --role-change-ms 300 $flag
}

start_instance() { # NUMBER
  write_settings "$1" a
  start "instance$1" $program serve --settings "$fleet_dir/i$1.json"
}

list_instances() { # NUMBER...
  local entries='' n
  for n in "$@"; do
    entries+="${entries:+,}$(list_entry "$n" a | sed 's/}$/, "pinned": false}/')"
  done
  control 0 "{\"instances\": [$entries]}" >/dev/null
}

# Starts a platform, engines, services and instances: INSTANCES ENGINES SERVERS CHECKS-FENCING.
start_fleet() {
  local n
  start_platform
  write_configuration "$2" "$3" "$4"
  $program apply --object-api "$(address 0)" --revision 0 \
    --file "$fleet_dir/configuration.json" >/dev/null
  for n in $(seq 1 "$2"); do start_engine "$n" "$4"; done
  for n in $(seq 1 "$3"); do
    start "service$n" $standin service --name "booking-$n" \
      --listen "$(address $((30 + n)))"
  done
  # shellcheck disable=SC2046
  list_instances $(seq 1 "$1")
  for n in $(seq 1 "$1"); do start_instance "$n"; done
  wait_for 15 all_alive "$1" ||
    echo "  not every instance lists all $1 instances after 15 s"
  wait_for 15 complete 1 2 || echo "  no completion succeeded within 15 s"
}

list_offered() { curl -sf -m 2 "http://$(address $((100 + $1)))/v1/instances"; }

all_alive() { # COUNT
  local n
  for n in $(seq 1 "$1"); do
    equals "$1" "$(list_offered "$n" | grep -o key_prefix | wc -l)" || return 1
  done
}

# Prints the key prefix of an instance: INSTANCE [QUERIED-INSTANCE].
key_prefix() {
  list_offered "${2:-$1}" | tr '{' '\n' | grep "\"id\":\"i$1\"" |
    grep -o 'key_prefix":"[^"]*' | cut -d'"' -f3
}

# Requests a completion and prints the HTTP status: INSTANCE TOKENS [PROMPT].
complete() {
  curl -sf -m 30 -o /dev/null -w '%{http_code}' \
    "http://$(address $((100 + $1)))/v1/completions" \
    -d "{\"model\": \"roster\", \"prompt\": \"${3:-Who?}\", \"max_tokens\": $2}"
}

# Streams a completion into a file: INSTANCE TOKENS PROMPT FILE.
stream() {
  curl -sN -m 60 "http://$(address $((100 + $1)))/v1/completions" \
    -d "{\"model\": \"roster\", \"prompt\": \"$3\", \"max_tokens\": $2,
         \"stream\": true}" >"$4" 2>/dev/null
}

# Prints the text of a streamed response.
text_of() { grep -o '"text":"[^"]*' "$1" | cut -d'"' -f4 | tr -d '\n'; }

is_complete() { # FILE TOKENS
  equals "$2" "$(grep -c '"text"' "$1")" &&
    grep -q '"outcome":"completed"' "$1"
}

# Sends a booking and prints its outcome: INSTANCE KEY [MAXIMUM-SECONDS].
book() {
  curl -s -m "${3:-10}" -o /dev/null -D - -X POST \
    "http://$(address $((100 + $1)))/services/booking/book" \
    -H "Idempotency-Key: $2" -d '{}' |
    tr -d '\r' | awk -F': ' 'tolower($1) == "dotterel-outcome" {print $2}'
}

# Prints how often the services executed a booking.
executions() { # KEY
  local n
  for n in 31 32; do control $n '{}'; done | grep -o "\"$1\":[0-9]*" |
    awk -F: '{n += $NF} END {print n + 0}'
}

engine_field() { # NUMBER FIELD
  control $((10 + $1)) '{}' | grep -o "\"$2\":[^,}]*" | cut -d: -f2 | tr -d '"'
}

status_field() { # INSTANCE FIELD
  curl -sf -m 2 "http://$(address $((100 + $1)))/admin/status" |
    grep -o "\"$2\":[0-9]*" | tail -1 | cut -d: -f2
}

# Prints the number of the instance that holds the lease of the first shard.
holder_of_any_shard() {
  curl -sf "http://$(address 101)/admin/status" |
    grep -o '"holder":"i[0-9]*' | head -1 | tr -dc '0-9'
}

pid_of() { # NAME
  local variable="pid_$1"
  echo "${!variable}"
}
