#!/usr/bin/env bash
# Mutation test of the reducers: removes one guard at a time in a scratch copy
# and checks that the tests of the library fail:
#   Meta/code-mutations.sh [LibControl|LibRelay]
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r CMakeLists.txt Libraries Programs Tests platform "$scratch"
CXX=clang++-16 cmake -S "$scratch" -B "$scratch/build" -G Ninja >/dev/null
name=${1:-LibControl}
library=$scratch/Libraries/$name
survivors=0

mutate() { # NAME FILE PERL-SUBSTITUTION
  local file=$library/$2 verdict=killed
  cp "$file" "$scratch/original"
  perl -0pi -e "$3" "$file"
  if cmp -s "$file" "$scratch/original"; then
    echo "mutation '$1' does not apply"
    exit 1
  fi
  ninja -C "$scratch/build" "Test$name" >"$scratch/log" 2>&1 ||
    { cat "$scratch/log"; exit 1; }
  if RC_PARAMS="seed=1 max_success=400 max_size=150 noshrink=1" timeout 120 \
    "$scratch/build/Tests/Test$name" >/dev/null 2>&1; then
    verdict=SURVIVED
    survivors=$((survivors + 1))
  fi
  printf '%-9s %s\n' "$verdict" "$1"
  mv "$scratch/original" "$file"
}

if [ "$name" = LibRelay ]; then
  mutate 'a server that leaves is used' ServerTable.h \
    's/return Description.IsDraining \|\| HasAnnouncedLeaving;/return Description.IsDraining;/'
  mutate 'a stream that ends inside an event is complete' AttemptReducer.cpp \
    's/if \(isInsideEvent\(Remainder\)\)/if (false)/'
  mutate 'an unframed stream without events is complete' AttemptReducer.cpp \
    's/Target.Framing == BodyFraming::UntilClose && !Target.HasFirstPart/false/'
  mutate 'a comment at the end is taken for an event' EventFramer.cpp \
    's/ && !line.starts_with\(.:.\)//'
  mutate 'peers are not told of a server that leaves' FleetReducer.cpp \
    's/report.Leaving.push_back\(it.second->Key\);/;/'
  mutate 'a listed entry revives a server that leaves' ServerTable.cpp \
    's/server->HasAnnouncedLeaving = run->HasAnnouncedLeaving;//'
  mutate 'a misdirected response counts as a notice' AttemptReducer.cpp \
    's/if \(!response.IsMisdirected\)\n    observe/observe/'
  mutate 'a paused server is used' ServerTable.h \
    's/Now >= PausedUntil && //'
  mutate 'a shorter pause ends a longer one' ServerListReducer.cpp \
    's/std::max\(run.PausedUntil, now\(\) \+ \*Notice.Pause\)/now() + *Notice.Pause/'
  mutate 'a handle at a paused server is released' RequestReducer.cpp \
    's/server != nullptr && now\(\) < server->PausedUntil\)/false)/'
  mutate 'callers come back before the pause ends' RequestReducer.cpp \
    's/std::max\(RetryAfterNoServer, earliest - now\(\)\)/RetryAfterNoServer/'
  mutate 'a copy revives a draining server' ServerListReducer.cpp \
    's/isSameRun && known->Description.IsDraining/false/'
  mutate 'a copy revives a server that was draining and removed' ServerListReducer.cpp \
    's/hasLeft && run->WasDraining/false/'
  mutate 'a copy revives a removed server' ServerListReducer.cpp \
    's/server.HeldUntil = now\(\)/server.HeldUntil = Instant{}/'
  mutate 'a server that came since the copy is removed' ServerListReducer.cpp \
    's/\(isLost \|\| isDuringOrAfterOutage\(\)\)/isDuringOrAfterOutage()/'
  mutate 'an older configuration of a copy is applied' FleetReducer.cpp \
    's/version < current\) \{/false) {/; s/CurrentState.Config && version == current/false/'
  mutate 'a starting instance applies an older configuration' RequestReducer.cpp \
    's/ \|\|\n      CurrentState.IsBehindPeers//'
  mutate 'the era is not learned from peers' StoreWatchReducer.cpp \
    's/observeEra\(watch->AsOf.era\(\), Event.Report.PeerAddress\);//'
  mutate 'orders are not suspended after a restore' StoreWatchReducer.cpp \
    's/RoleReducer\(CurrentState, Output\).suspendOrders\(\);/return;/'
  mutate 'a lease is written at once after a restore' RoleReducer.cpp \
    's/ \|\| now\(\) < lease.SuspendedUntil//'
  mutate 'fencing numbers are revisions' RoleReducer.cpp \
    's/auto fence = Event.Version.packed\(\)/auto fence = Event.Version.revision()/'
  mutate 'a second prefill is not charged' RequestReducer.cpp \
    's/\(IsPrefill && Request.HasPrefilled \? 1U : 0U\)/0U/'
  mutate 'a prefill that was charged and does not count is not refunded' AttemptReducer.cpp \
    's/\+\+request->RetryCredit;//'
  mutate 'an unused prefill is released' RequestReducer.cpp \
    's/if \(attempt.IsSent\)\n    return std::nullopt;/return std::nullopt;/'
  mutate 'a broken connection counts as a crash' CrashEvidence.cpp \
    's/!crash.ConfirmedAt \|\| \*crash.ConfirmedAt > Known/false/g'
  mutate 'one prompt is enough evidence' SuspectQuarantine.cpp \
    's/MinimumRequests = std::size_t\{2\}/MinimumRequests = std::size_t{1}/'
  mutate 'an explained crash counts against other segments' SuspectQuarantine.cpp \
    's/return it->second.Kind;/return std::nullopt;/'
  mutate 'a completed prompt shows nothing' SuspectQuarantine.cpp \
    's/Now - it->second < ConfirmationTime/false/'
  mutate 'a reported completion loses its age' SuspectQuarantine.cpp \
    's/Now - ClearedAt.at\(it.first\)\}/Duration{}}/'
  mutate 'a peer does not learn of a quarantine' QuarantineReducer.cpp \
    's/if \(quarantine.quarantine\(it.Suspect, now\(\) - it.CrashAge, now\(\)\)\)/if (false)/'
  mutate 'prompts in progress are not ended' QuarantineReducer.cpp \
    's/affected.push_back\(it.first\);/;/'
  mutate 'a quarantined prompt is retried' AttemptReducer.cpp \
    's/if \(CurrentState.Quarantine.find\(request.suspectKeys\(\)\)\)/if (false)/'
  mutate 'callers of one content are not told apart' RequestIdentity.cpp \
    's/combine\(content, Source.CallerAddress\)/content/'
  mutate 'an earlier completion releases a request' SuspectQuarantine.cpp \
    's/ && at < it->second.CrashAt\)/ \&\& false)/'
  mutate 'each instance tries an ambiguous request' QuarantineReducer.cpp \
    's/findCoordinator\(CurrentState, Target.Key\) !=\n\s+CurrentState.Self.PeerAddress/false/'
  mutate 'a quarantine is lost when the store is restored' StoreWatchReducer.cpp \
    's/CurrentState.Quarantine.markAllUnstored\(\);//'
  [ $survivors -eq 0 ] || { echo "$survivors mutations survived"; exit 1; }
  exit 0
fi

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
