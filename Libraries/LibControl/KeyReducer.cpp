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
    return admitOwn(Id, CurrentState.Calls.Keys.epoch());
  call.Prefix = prefix;
  if (prefix->OwnerRun == CurrentState.Self.Run)
    return admitOwn(Id, prefix->Epoch);
  if (call.Origin)
    return CallReducer(CurrentState, Output)
        .finish(Id, Outcome::Unknown, ResultCode::HomeUnreachable, RetryAfter);
  forwardToOwner(Id, prefix->OwnerRun);
}

auto KeyReducer::admitOwn(CallId Id, std::uint64_t Epoch) -> void {
  auto &call = *find(Id);
  call.KeyEpoch = Epoch;
  switch (CurrentState.Calls.Keys.admit(Epoch, scopedKey(call))) {
  case KeyAdmission::New:
    call.OwnsKey = true;
    if (!call.Prefix)
      return claimKey(Id);
    return CallReducer(CurrentState, Output).place(Id);
  case KeyAdmission::Known:
    return joinRunningCall(Id, Epoch);
  case KeyAdmission::Expired:
    return CallReducer(CurrentState, Output)
        .finish(Id, Outcome::Unknown, ResultCode::KeyExpired);
  case KeyAdmission::TableFull:
    return CallReducer(CurrentState, Output)
        .reject(Id, ResultCode::KeyTableFull, RetryAfter);
  }
}

auto KeyReducer::joinRunningCall(CallId Id, std::uint64_t Epoch) -> void {
  auto &call = *find(Id);
  auto *entry = CurrentState.Calls.Keys.find(Epoch, scopedKey(call));
  if (entry->State != ClaimState::Running)
    return CallReducer(CurrentState, Output).finish(Id, entry->Response);
  entry->Waiters.push_back(Id);
  call.Wait = CallWait::SameKey;
}

auto KeyReducer::forwardToOwner(CallId Id, Incarnation OwnerRun) -> void {
  auto &call = *find(Id);
  for (auto const &it : CurrentState.Members.Peers) {
    if (it.second.Run != OwnerRun || !isAlive(it.second, now()))
      continue;
    auto message = ForwardedCall{};
    message.Call = Id;
    message.OwnerRun = OwnerRun;
    message.Caller = call.Request.Caller;
    message.Service = call.Request.Service;
    message.Method = call.Request.Method;
    message.Path = call.Request.Path;
    message.Key = call.Request.Key;
    message.TimeLeft = call.Deadline - now();
    message.ContentType = call.Request.ContentType;
    message.Body = *call.Request.Body;
    call.Wait = CallWait::KeyOwner;
    call.KeyOwner = it.first;
    emit(SendPeer{it.first, std::move(message)});
    return;
  }
  CallReducer(CurrentState, Output)
      .finish(Id, Outcome::Unknown, ResultCode::HomeUnreachable, RetryAfter);
}

auto KeyReducer::claimKey(CallId Id) -> void {
  auto &call = *find(Id);
  call.Claim = CallClaim{claimName(call), 0, false, 0};
  writeClaim(Id, call);
}

auto KeyReducer::writeClaim(CallId Id, Call &Target) -> void {
  Target.Wait = CallWait::Claim;
  emit(WriteClaim{
      Id, Target.Claim->Name, Target.Claim->Version,
      ClaimRecord{CurrentState.Self.Run, Id, ClaimState::Running, {}}});
}

auto KeyReducer::on(ClaimWritten const &Event) -> void {
  auto *call = find(Event.Call);
  if (call == nullptr || call->Wait != CallWait::Claim)
    return;
  if (Event.Result == WriteResult::Committed)
    return placeClaimed(Event.Call, *call, Event.Version);
  if (++call->Claim->Reads > MaximumClaimReads)
    return CallReducer(CurrentState, Output)
        .finish(Event.Call, Outcome::Unknown, ResultCode::ClaimStoreUnavailable,
                RetryAfter);
  emit(ReadClaim{Event.Call, call->Claim->Name});
}

auto KeyReducer::placeClaimed(CallId Id, Call &Target, std::uint64_t Version)
    -> void {
  Target.Claim->IsHeld = true;
  Target.Claim->Version = Version;
  CallReducer(CurrentState, Output).place(Id);
}

auto KeyReducer::on(ClaimRead const &Event) -> void {
  auto *call = find(Event.Call);
  if (call == nullptr || call->Wait != CallWait::Claim)
    return;
  auto const &record = Event.Record;
  auto isOwn =
      record.HolderRun == CurrentState.Self.Run && record.Call == Event.Call;
  if (Event.Version != 0 && isOwn && record.State == ClaimState::Running)
    return placeClaimed(Event.Call, *call, Event.Version);
  if (Event.Version == 0 || record.State == ClaimState::NotRun) {
    call->Claim->Version = Event.Version;
    return writeClaim(Event.Call, *call);
  }
  if (record.State == ClaimState::Completed)
    return CallReducer(CurrentState, Output)
        .finish(Event.Call, record.Response);
  CallReducer(CurrentState, Output)
      .finish(Event.Call, Outcome::Unknown, ResultCode::ClaimedElsewhere,
              RetryAfter);
}

auto KeyReducer::on(ClaimReadFailed const &Event) -> void {
  auto *call = find(Event.Call);
  if (call == nullptr || call->Wait != CallWait::Claim)
    return;
  CallReducer(CurrentState, Output)
      .finish(Event.Call, Outcome::Unknown, ResultCode::ClaimStoreUnavailable,
              RetryAfter);
}

auto KeyReducer::recordOutcome(CallId Id, Call const &Finished,
                               StoredResponse const &Response)
    -> std::vector<CallId> {
  if (!Finished.OwnsKey)
    return {};
  auto state = claimStateFor(Response.Result);
  if (Finished.Claim && Finished.Claim->IsHeld)
    emit(WriteClaim{Id, Finished.Claim->Name, Finished.Claim->Version,
                    ClaimRecord{CurrentState.Self.Run, Id, state, Response}});
  auto &keys = CurrentState.Calls.Keys;
  // Without a held claim the call did not run here. The key is removed, so that
  // a repeated call checks the claim object again.
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
  if (!prefix || prefix->OwnerRun != CurrentState.Self.Run)
    return true;
  // Calls with this key run only in this run of the instance, so its key table
  // is complete.
  if (Target.OwnsKey)
    return false;
  auto &keys = CurrentState.Calls.Keys;
  return !keys.isRetained(prefix->Epoch) ||
         keys.find(prefix->Epoch, scopedKey(Target)) != nullptr;
}

auto KeyReducer::on(ForwardedResponseReceived const &Event) -> void {
  if (Event.Response.OriginRun != CurrentState.Self.Run)
    return;
  auto *call = find(Event.Response.Call);
  if (call == nullptr || call->Wait != CallWait::KeyOwner ||
      call->KeyOwner != Event.Peer)
    return;
  auto const &response = Event.Response;
  CallReducer(CurrentState, Output)
      .finish(response.Call,
              StoredResponse{response.Result, response.Code,
                             response.HttpStatus, response.ContentType,
                             response.Body});
}

auto KeyReducer::on(PeerDisconnected const &Event) -> void {
  auto lost = std::vector<CallId>{};
  for (auto const &it : CurrentState.Calls.Calls)
    if (it.second.Wait == CallWait::KeyOwner &&
        it.second.KeyOwner == Event.Peer)
      lost.push_back(it.first);
  for (auto id : lost)
    CallReducer(CurrentState, Output)
        .finish(id, Outcome::Unknown, ResultCode::HomeUnreachable, RetryAfter);
}

} // namespace dotterel
