#!/usr/bin/env bash
# Mutation test of the reducer: removes one guard at a time in a scratch copy
# and checks that the stateful tests of LibControl fail.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r CMakeLists.txt Libraries Programs Tests "$scratch"
CXX=clang++-14 cmake -S "$scratch" -B "$scratch/build" -G Ninja >/dev/null
library=$scratch/Libraries/LibControl
survivors=0

mutate() { # NAME FILE PERL-SUBSTITUTION
  local file=$library/$2 verdict=killed
  cp "$file" "$scratch/original"
  perl -0pi -e "$3" "$file"
  if cmp -s "$file" "$scratch/original"; then
    echo "mutation '$1' does not apply"
    exit 1
  fi
  ninja -C "$scratch/build" TestLibControl >"$scratch/log" 2>&1 ||
    { cat "$scratch/log"; exit 1; }
  if RC_PARAMS="seed=1 max_success=400 max_size=150 noshrink=1" timeout 120 \
    "$scratch/build/Tests/TestLibControl" >/dev/null 2>&1; then
    verdict=SURVIVED
    survivors=$((survivors + 1))
  fi
  printf '%-9s %s\n' "$verdict" "$1"
  mv "$scratch/original" "$file"
}

mutate 'a key runs at any instance' KeyReducer.cpp \
  's/prefix->OwnerRun == CurrentState.Self.Run\)\n    return admitOwn/true)\n    return admitOwn/'
mutate 'not-run is returned without checking the key' KeyReducer.cpp \
  's/(auto KeyReducer::mayHaveRunElsewhere.*?\{\n)/$1  return false;\n/s'
mutate 'a booking is sent again after its connection broke' CallReducer.cpp \
  's/if \(!call->IsIdempotent\)\n    return finish/if (false)\n    return finish/'
mutate 'a call runs without a committed claim' KeyReducer.cpp \
  's/if \(Event.Result == WriteResult::Committed\)/if (true)/'
mutate 'tokens of abandoned attempts are accepted' CallReducer.cpp \
  's/\|\|\s*call->Current->Number != Id.Number//'
mutate 'an older configuration is accepted' ConfigurationReducer.cpp \
  's/if \(Event.Configuration->revision\(\) <= held\)\n    return;//'
mutate 'engines that ignore fencing get orders despite former holders' OrderReducer.cpp \
  's/return Target.Record.FormerHolders.empty\(\);/return true;/'
mutate 'a new holder drops recorded intents' LeaseReducer.cpp \
  's/record.Fencing \+= 1;/record.Fencing += 1;\n  record.Orders.clear();/'
mutate 'an order is sent before it is committed' LeaseReducer.cpp \
  's/if \(Event.Result != WriteResult::Committed\) \{/if (false) {/'
mutate 'the last engine of a model is drained' OrderReducer.cpp \
  's/\|\| !isRedundant\(id\)//'
mutate 'a leaving instance does not announce it' MembershipReducer.cpp \
  's/heartbeat.IsLeaving = .*?;/heartbeat.IsLeaving = false;/s'
mutate 'a broken stream restarts from its first token' CallReducer.cpp \
  's/send.ResumeAfter = call->TokensForwarded;/send.ResumeAfter = 0;/'
mutate 'a lost lease is kept' LeaseReducer.cpp \
  's/auto isOwn = Event.Version != 0 &&/auto isOwn = true ||/'

[ $survivors -eq 0 ] || { echo "$survivors mutations survived"; exit 1; }
