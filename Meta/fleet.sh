# Functions that start stand-ins and instances on loopback; sourced by scripts.
# stop_fleet stops all processes that were started with start, by process id.

fleet_dir=$(mktemp -d)
fleet_pids=()
fleet_base=${DOTTEREL_PORT_BASE:-18000}

# Starts a program in the background; its log goes to $fleet_dir/NAME.log.
start() { # NAME PROGRAM ARGUMENT...
  local name=$1
  shift
  "$@" >"$fleet_dir/$name.log" 2>&1 &
  fleet_pids+=($!)
  eval "pid_${name//-/_}=$!"
}

# SECONDS counts whole seconds, so that a limit of one could be over at once.
wait_for() { # SECONDS COMMAND...
  local limit=$((${EPOCHREALTIME/./} + $1 * 1000000))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "${EPOCHREALTIME/./}" -ge $limit ] && return 1
    sleep 0.05
  done
}

address() { echo "127.0.0.1:$((fleet_base + $1))"; }

write_settings() { # NUMBER DOMAIN
  cat >"$fleet_dir/i$1.json" <<JSON
{"instance": "i$1", "failureDomain": "$2",
 "callerAddress": "$(address $((100 + $1)))",
 "peerAddress": "$(address $((200 + $1)))",
 "objectApiAddress": "$(address 0)", "leaseDurationMs": 2000,
 "peerKey": "a key for loopback only"}
JSON
}

list_entry() { # NUMBER DOMAIN
  echo "{\"id\": \"i$1\", \"failureDomain\": \"$2\",
    \"callerAddress\": \"$(address $((100 + $1)))\",
    \"peerAddress\": \"$(address $((200 + $1)))\"}"
}

control() { # PORT-OFFSET JSON
  local path=/control
  curl -sf -X POST "http://$(address "$1")$path" -d "$2"
}

stop_fleet() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$fleet_dir"
}
