#!/usr/bin/env bash
# An accepted configuration takes effect at all instances within seconds, including
# one that resumes after a pause and one that starts during an outage. No older
# configuration replaces it. Of concurrent changes exactly one is accepted; a
# refused change has no effect.
source "$(dirname "$0")/Support.sh"
start_fleet 3 2 1 true

revision_is() { # EXPECTED INSTANCE...
  local expected=$1 n
  shift
  for n in "$@"; do equals "$expected" "$(status_field "$n" revision)" || return 1; done
}

$program label --object-api "$(address 0)" caller dispatch tier=silver >/dev/null
check InForceWithinTwoSeconds wait_for 2 revision_is 2 1 2 3

race() {
  local n pids=()
  $program get --object-api "$(address 0)" >"$fleet_dir/read" 2>/dev/null
  for n in 1 2 3 4; do
    sed "s/silver/metal$n/" "$fleet_dir/read" >"$fleet_dir/race$n.json"
    $program apply --object-api "$(address 0)" --revision 2 \
      --file "$fleet_dir/race$n.json" >/dev/null 2>"$fleet_dir/race$n.log" &
    pids+=($!)
  done
  local accepted=0 refused=0 pid
  for pid in "${pids[@]}"; do
    wait "$pid"
    case $? in 0) accepted=$((accepted + 1)) ;; 4) refused=$((refused + 1)) ;; esac
  done
  equals '1 3' "$accepted $refused"
}
check OneOfFourConcurrentChangesIsAccepted race
check RefusedChangeShowsBothRevisions grep -lq 'refused:' "$fleet_dir"/race*.log
check AcceptedChangeIsInForce wait_for 2 revision_is 3 1 2 3

# A paused instance catches up.
kill -STOP "$(pid_of instance3)"
$program label --object-api "$(address 0)" caller dispatch tier=gold >/dev/null
sleep 1
kill -CONT "$(pid_of instance3)"
check PausedInstanceGetsTheNewRevision wait_for 5 revision_is 4 1 2 3

# An instance that starts during an outage gets the configuration from its peers.
control 0 '{"outage": true}' >/dev/null
kill -KILL "$(pid_of instance1)"
sleep 0.5
start_instance 1
check StartDuringOutageUsesPeers wait_for 10 revision_is 4 1
check StartDuringOutageServes wait_for 10 complete 1 3
control 0 '{"outage": false}' >/dev/null

# A refused configuration changes nothing, and the message names the error.
sed 's/"callers":\s*""/"callers": "teir=gold"/' "$fleet_dir/configuration.json" \
  >"$fleet_dir/wrong.json"
$program apply --object-api "$(address 0)" --revision 4 \
  --file "$fleet_dir/wrong.json" >/dev/null 2>"$fleet_dir/wrong.log"
check WrongSelectorIsRefused equals 3 $?
check WrongSelectorIsNamed grep -q "unknown label 'teir'" "$fleet_dir/wrong.log"
check NothingChanged revision_is 4 1 2 3

$program status --instance "$(address 109)" >/dev/null 2>&1
check UnreachableInstanceExitCode equals 5 $?
$program explain --instance "$(address 101)" --model roster >"$fleet_dir/explained"
check ExplainNamesTheRoute grep -q '^route rosters' "$fleet_dir/explained"
$program label --object-api "$(address 0)" engine e77 a=b 2>/dev/null
check UnknownObjectExitCode equals 6 $?
$program frobnicate 2>/dev/null
check UnknownCommandExitCode equals 2 $?

finish
