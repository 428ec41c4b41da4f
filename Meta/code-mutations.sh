#!/usr/bin/env bash
# Shows that the stateful tests notice when a guard is taken out of the
# reducer: each mutation is built in a scratch copy and must turn them red.
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

mutate 'a key runs at every instance' KeyReducer.cpp \
  's/prefix->Home == Subject.Self.Run\)\n    return admitOwn/true)\n    return admitOwn/'
mutate 'not-run without looking at the key' KeyReducer.cpp \
  's/(auto KeyReducer::mayHaveRunElsewhere.*?\{\n)/$1  return false;\n/s'
mutate 'a broken booking is sent again' CallReducer.cpp \
  's/if \(!call->IsIdempotent\)\n    return finish/if (false)\n    return finish/'
mutate 'a claim needs no commit' KeyReducer.cpp \
  's/if \(Happened.Result == WriteResult::Committed\)/if (true)/'
mutate 'tokens of abandoned attempts count' CallReducer.cpp \
  's/\|\|\s*call->Current->Number != Id.Number//'
mutate 'an older configuration is taken' ConfigurationReducer.cpp \
  's/if \(Happened.Configuration->revision\(\) <= held\)\n    return;//'
mutate 'engines that ignore fencing are ordered at once' OrderReducer.cpp \
  's/return Target.Record.FormerHolders.empty\(\);/return true;/'
mutate 'recorded intents are dropped by a new holder' LeaseReducer.cpp \
  's/record.Fencing \+= 1;/record.Fencing += 1;\n  record.Orders.clear();/'
mutate 'an order is sent before it is committed' LeaseReducer.cpp \
  's/if \(Happened.Result != WriteResult::Committed\) \{/if (false) {/'
mutate 'no cover for the last engine of a model' OrderReducer.cpp \
  's/\|\| !isCovered\(id\)//'
mutate 'a leaving instance says nothing' MembershipReducer.cpp \
  's/heartbeat.IsLeaving = .*?;/heartbeat.IsLeaving = false;/s'
mutate 'a broken stream starts again from its first token' CallReducer.cpp \
  's/send.ResumeAfter = call->TokensForwarded;/send.ResumeAfter = 0;/'
mutate 'a lapsed lease is kept' LeaseReducer.cpp \
  's/auto isOwn = Happened.Version != 0 &&/auto isOwn = true ||/'

[ $survivors -eq 0 ] || { echo "$survivors mutations survived"; exit 1; }
