#include "LibControl/KeyReducer.h"

#include "LibControl/CallReducer.h"
#include "LibCore/Hash.h"

#include <fmt/format.h>

namespace dotterel {

namespace {

constexpr auto MaximumClaimReads = 3U;
constexpr auto RetryAfter = Duration{1s};

auto scopedKey(Call const &Target) -> ScopedKey {
  return {Target.Request.Caller, Target.Request.Key};
}

auto claimName(Call const &Target) -> std::string {
  auto caller = hashText(Target.Request.Caller.text());
  auto low = hashText(Target.Request.Key.text(), caller);
  auto high = hashText(Target.Request.Key.text(), ~caller);
  return fmt::format("{:016x}{:016x}", high, low);
}

auto claimStateFor(Outcome Result) -> ClaimState {
  switch (Result) {
  case Outcome::Completed:
    return ClaimState::Completed;
  case Outcome::NotRun:
    return ClaimState::NotRun;
  case Outcome::Unknown:
    return ClaimState::Unknown;
  }
  return ClaimState::Unknown;
}

} // namespace

auto KeyReducer::admit(CallId Id) -> void {
  auto &call = *find(Id);
  auto prefix = parseKeyPrefix(call.Request.Key.text());
  if (!prefix)
    return admitOwn(Id, Subject.Calls.Keys.epoch());
  call.Prefix = prefix;
  if (prefix->Home == Subject.Self.Run)
    return admitOwn(Id, prefix->Epoch);
  if (call.Origin)
    return CallReducer(Subject, Out)
        .finish(Id, Outcome::Unknown, ResultCode::HomeUnreachable, RetryAfter);
  forward(Id, prefix->Home);
}

auto KeyReducer::admitOwn(CallId Id, std::uint64_t Epoch) -> void {
  auto &call = *find(Id);
  call.KeyEpoch = Epoch;
  switch (Subject.Calls.Keys.admit(Epoch, scopedKey(call))) {
  case KeyAdmission::New:
    call.OwnsKey = true;
    if (!call.Prefix)
      return claim(Id);
    return CallReducer(Subject, Out).place(Id);
  case KeyAdmission::Known:
    return join(Id, Epoch);
  case KeyAdmission::Expired:
    return CallReducer(Subject, Out)
        .finish(Id, Outcome::Unknown, ResultCode::KeyExpired);
  case KeyAdmission::TableFull:
    return CallReducer(Subject, Out)
        .reject(Id, ResultCode::KeyTableFull, RetryAfter);
  }
}

auto KeyReducer::join(CallId Id, std::uint64_t Epoch) -> void {
  auto &call = *find(Id);
  auto *entry = Subject.Calls.Keys.find(Epoch, scopedKey(call));
  if (entry->State != ClaimState::Running)
    return CallReducer(Subject, Out).finish(Id, entry->Response);
  entry->Waiters.push_back(Id);
  call.Wait = CallWait::SameKey;
}

auto KeyReducer::forward(CallId Id, Incarnation Home) -> void {
  auto &call = *find(Id);
  for (auto const &it : Subject.Members.Peers) {
    if (it.second.Run != Home || !isAlive(it.second, now()))
      continue;
    auto message = ForwardedCall{};
    message.Call = Id;
    message.OwnerRun = Home;
    message.Caller = call.Request.Caller;
    message.Service = call.Request.Service;
    message.Method = call.Request.Method;
    message.Path = call.Request.Path;
    message.Key = call.Request.Key;
    message.TimeLeft = call.Deadline - now();
    message.ContentType = call.Request.ContentType;
    message.Body = *call.Request.Body;
    call.Wait = CallWait::Home;
    call.Home = it.first;
    emit(SendPeer{it.first, std::move(message)});
    return;
  }
  CallReducer(Subject, Out)
      .finish(Id, Outcome::Unknown, ResultCode::HomeUnreachable, RetryAfter);
}

auto KeyReducer::claim(CallId Id) -> void {
  auto &call = *find(Id);
  call.Claim = CallClaim{claimName(call), 0, false, 0};
  writeClaim(Id, call);
}

auto KeyReducer::writeClaim(CallId Id, Call &Target) -> void {
  Target.Wait = CallWait::Claim;
  emit(WriteClaim{Id, Target.Claim->Name, Target.Claim->Version,
                  ClaimRecord{Subject.Self.Run, Id, ClaimState::Running, {}}});
}

auto KeyReducer::on(ClaimWritten const &Happened) -> void {
  auto *call = find(Happened.Call);
  if (call == nullptr || call->Wait != CallWait::Claim)
    return;
  if (Happened.Result == WriteResult::Committed)
    return placeClaimed(Happened.Call, *call, Happened.Version);
  if (++call->Claim->Reads > MaximumClaimReads)
    return CallReducer(Subject, Out)
        .finish(Happened.Call, Outcome::Unknown,
                ResultCode::ClaimStoreUnavailable, RetryAfter);
  emit(ReadClaim{Happened.Call, call->Claim->Name});
}

auto KeyReducer::placeClaimed(CallId Id, Call &Target, std::uint64_t Version)
    -> void {
  Target.Claim->IsHeld = true;
  Target.Claim->Version = Version;
  CallReducer(Subject, Out).place(Id);
}

auto KeyReducer::on(ClaimRead const &Happened) -> void {
  auto *call = find(Happened.Call);
  if (call == nullptr || call->Wait != CallWait::Claim)
    return;
  auto const &record = Happened.Record;
  auto isOwn =
      record.HolderRun == Subject.Self.Run && record.Call == Happened.Call;
  if (Happened.Version != 0 && isOwn && record.State == ClaimState::Running)
    return placeClaimed(Happened.Call, *call, Happened.Version);
  if (Happened.Version == 0 || record.State == ClaimState::NotRun) {
    call->Claim->Version = Happened.Version;
    return writeClaim(Happened.Call, *call);
  }
  if (record.State == ClaimState::Completed)
    return CallReducer(Subject, Out).finish(Happened.Call, record.Response);
  CallReducer(Subject, Out)
      .finish(Happened.Call, Outcome::Unknown, ResultCode::ClaimedElsewhere,
              RetryAfter);
}

auto KeyReducer::on(ClaimReadFailed const &Happened) -> void {
  auto *call = find(Happened.Call);
  if (call == nullptr || call->Wait != CallWait::Claim)
    return;
  CallReducer(Subject, Out)
      .finish(Happened.Call, Outcome::Unknown,
              ResultCode::ClaimStoreUnavailable, RetryAfter);
}

auto KeyReducer::settle(CallId Id, Call const &Finished,
                        StoredResponse const &Response) -> std::vector<CallId> {
  if (!Finished.OwnsKey)
    return {};
  auto state = claimStateFor(Response.Result);
  if (Finished.Claim && Finished.Claim->IsHeld)
    emit(WriteClaim{Id, Finished.Claim->Name, Finished.Claim->Version,
                    ClaimRecord{Subject.Self.Run, Id, state, Response}});
  auto &keys = Subject.Calls.Keys;
  // Without a held claim nothing ran here; the object decides the next time.
  auto isUndecided = Finished.Claim && !Finished.Claim->IsHeld;
  if (state == ClaimState::NotRun || isUndecided)
    return keys.remove(Finished.KeyEpoch, scopedKey(Finished));
  return keys.finish(Finished.KeyEpoch, scopedKey(Finished), state, Response);
}

auto KeyReducer::mayHaveRunElsewhere(Call const &Target) -> bool {
  if (Target.IsIdempotent || Target.Request.Key.empty())
    return false;
  if (Target.Claim && Target.Claim->IsHeld)
    return false;
  auto prefix = parseKeyPrefix(Target.Request.Key.text());
  if (!prefix || prefix->Home != Subject.Self.Run)
    return true;
  // Only this run runs the key, so its table knows.
  if (Target.OwnsKey)
    return false;
  auto &keys = Subject.Calls.Keys;
  return !keys.isRetained(prefix->Epoch) ||
         keys.find(prefix->Epoch, scopedKey(Target)) != nullptr;
}

auto KeyReducer::on(ForwardedResponseReceived const &Happened) -> void {
  if (Happened.Response.OriginRun != Subject.Self.Run)
    return;
  auto *call = find(Happened.Response.Call);
  if (call == nullptr || call->Wait != CallWait::Home ||
      call->Home != Happened.Peer)
    return;
  auto const &answer = Happened.Response;
  CallReducer(Subject, Out)
      .finish(answer.Call,
              StoredResponse{answer.Result, answer.Code, answer.HttpStatus,
                             answer.ContentType, answer.Body});
}

auto KeyReducer::on(PeerDisconnected const &Happened) -> void {
  auto lost = std::vector<CallId>{};
  for (auto const &it : Subject.Calls.Calls)
    if (it.second.Wait == CallWait::Home && it.second.Home == Happened.Peer)
      lost.push_back(it.first);
  for (auto id : lost)
    CallReducer(Subject, Out)
        .finish(id, Outcome::Unknown, ResultCode::HomeUnreachable, RetryAfter);
}

} // namespace dotterel
