#!/usr/bin/env bash
# Builds everything and runs every test; the last line is 'N passed, N failed'.
# Failures listed in KNOWN-RED.txt are printed but do not fail the run.
set -uo pipefail
cd "$(dirname "$0")/.."
export DOTTEREL_SEED=${DOTTEREL_SEED:-1}
Meta/build.sh || exit 1
results=$(mktemp)
trap 'rm -f "$results"' EXIT

echo "seed $DOTTEREL_SEED"
for library in LibCore LibConfiguration LibNet LibPeer LibCustomer LibControl LibInstance \
  LibRelay Platform LibGateway; do
  echo "== $library"
  # These tests use the same ports and cannot run in parallel.
  jobs=()
  case $library in LibNet | LibGateway) jobs=(-j1) ;; esac
  RC_PARAMS="seed=$DOTTEREL_SEED max_success=400 max_size=150" \
    timeout 600 "build/Tests/Test$library" --tap "${jobs[@]}" 2>&1 | tee -a "$results"
done

echo "== pages"
if Meta/settings-page.sh --check; then
  echo 'ok - Pages::SettingsPageMatchesTheSchema'
else
  echo 'not ok - Pages::SettingsPageMatchesTheSchema'
fi | tee -a "$results"

for example in Examples/*.json; do
  option=--file
  [[ $example == *settings* ]] && option=--settings
  if build/dotterelstream check $option "$example" >/dev/null; then
    echo "ok - Examples::$(basename "$example" .json)"
  else
    echo "not ok - Examples::$(basename "$example" .json)"
  fi
done | tee -a "$results"

echo "== models"
Meta/model-mutations.sh |
  sed -u -E 's/^(holds|violated) +(.*)$/ok - Models::\1 \2/; /FAILED/s/.*/not ok - Models::see the line above/' |
  tee -a "$results"

echo "== fuzzing"
Meta/fuzz.sh --inputs --seed "$DOTTEREL_SEED" --runs 20000 2>&1 | tee -a "$results"

for arguments in BadInput AtMostOnce Configuration PlannedChanges \
  'Authority true' 'Authority false'; do
  echo "== $arguments"
  # shellcheck disable=SC2086
  set -- $arguments
  timeout 300 "Tests/Process/$1.sh" "${@:2}" 2>&1 | tee -a "$results"
  [ "${PIPESTATUS[0]}" = 124 ] && echo "not ok - $1::timed out" | tee -a "$results"
done

passed=$(grep -cE '^ok ' "$results")
failed=0
known=0
while read -r line; do
  name=${line#not ok *- }
  name=${name%% *}
  if [ -f KNOWN-RED.txt ] && grep -q "^test: $name" KNOWN-RED.txt; then
    known=$((known + 1))
    echo "known red: $name"
  else
    failed=$((failed + 1))
    echo "failed: $line"
  fi
done < <(grep -E '^not ok ' "$results")

# A test program that crashes before it prints results must not count as passed.
for suite in ResultCode:: Selector:: Codec:: Scenarios:: Promises:: \
  EventStream:: HttpClient:: RelayAtMostOnce:: RelayRoles:: PlatformStore:: Gateway:: \
  Models:: Fuzz::PeerCodec Fuzz::CallerFront Fuzz::PeerReport \
  Fuzz::RelayHeaders Fuzz::EventFramer \
  BadInput::RanToItsEnd AtMostOnce::RanToItsEnd Configuration::RanToItsEnd \
  PlannedChanges::RanToItsEnd Authority-fencing-true::RanToItsEnd \
  Authority-fencing-false::RanToItsEnd; do
  grep -qE "^(not )?ok .*$suite" "$results" ||
    { echo "failed: no test of $suite ran"; failed=$((failed + 1)); }
done

[ $known -gt 0 ] && echo "$known known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
