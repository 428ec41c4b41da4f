#include "LibControl/LeaseReducer.h"

#include "LibControl/MembershipReducer.h"
#include "LibControl/OrderReducer.h"
#include "LibCore/Hash.h"

#include <fmt/format.h>

namespace dotterel {

namespace {

using LeasePhase = LeaseLifecycle::Phase;

/// Must never change: it determines the shard, and so the holder, of an engine.
constexpr auto ShardCount = std::uint64_t{8};
/// Number of instances that watch a shard's lease and may acquire it.
constexpr auto CandidatesPerShard = 2;
constexpr auto RenewalsPerLease = 3;
constexpr auto ReadBackInterval = Duration{100ms};
constexpr auto FenceInterval = Duration{1s};

} // namespace

auto shardOf(EngineId const &Engine) -> ShardName {
  return ShardName(
      fmt::format("engines-{}", hashText(Engine.text()) % ShardCount));
}

auto isHolder(Shard const &Target) -> bool {
  auto phase = Target.Lease.phase();
  return phase == LeasePhase::Held || phase == LeasePhase::Renewing ||
         phase == LeasePhase::RenewUncertain;
}

auto isValidHolder(Shard const &Target, Instant Now) -> bool {
  return isHolder(Target) && Now < Target.ValidUntil;
}

auto LeaseReducer::rebuild() -> void {
  auto &shards = CurrentState.Leases.Shards;
  for (auto &it : shards)
    it.second.Engines.clear();
  for (auto const &it : CurrentState.Configuration.Current->engines()) {
    auto name = shardOf(it.Id);
    auto &shard = shards[name];
    shard.Name = name;
    shard.Engines.push_back(it.Id);
  }
  // A held shard without engines is kept until its orders are resolved.
  std::erase_if(shards, [](auto const &Item) {
    return Item.second.Engines.empty() && !isHolder(Item.second);
  });
}

auto LeaseReducer::on(Tick const & /*Event*/) -> void {
  for (auto &it : CurrentState.Leases.Shards)
    step(it.second);
}

auto LeaseReducer::step(Shard &Target) -> void {
  switch (Target.Lease.phase()) {
  case LeasePhase::Following:
    return stepFollower(Target);
  case LeasePhase::Held:
    return stepHolder(Target);
  case LeasePhase::AcquireUncertain:
  case LeasePhase::RenewUncertain:
    return read(Target);
  case LeasePhase::Acquiring:
  case LeasePhase::Renewing:
  case LeasePhase::Releasing:
  case LeasePhase::Released:
    return;
  }
}

auto LeaseReducer::stepFollower(Shard &Target) -> void {
  if (CurrentState.LeaveRequestedAt != Instant{})
    return;
  if (candidateRank(Target.Name) >= CandidatesPerShard)
    return;
  if (mayAcquire(Target))
    return acquire(Target);
  read(Target);
}

auto LeaseReducer::stepHolder(Shard &Target) -> void {
  if (CurrentState.LeaveRequestedAt != Instant{} && !hasOrderInFlight(Target))
    return release(Target);
  raiseFences(Target);
  auto next = OrderReducer(CurrentState, Output).composeRecord(Target);
  auto hasChanges = next.Orders != Target.Record.Orders ||
                    next.FormerHolders != Target.Record.FormerHolders;
  if (!hasChanges && Target.NextRenewal > now())
    return;
  Target.Lease.renewSent();
  write(Target, std::move(next));
}

auto LeaseReducer::read(Shard &Target) -> void {
  if (Target.IsReading || Target.NextRead > now())
    return;
  Target.IsReading = true;
  emit(ReadShard{Target.Name});
}

auto LeaseReducer::write(Shard &Target, ShardRecord Record) -> void {
  Record.Holder = CurrentState.Self.Id;
  Record.HolderRun = CurrentState.Self.Run;
  Record.LeaseDuration = CurrentState.Options.LeaseDuration;
  Record.WriteNumber = CurrentState.Leases.NextWriteNumber++;
  Target.Pending = Record;
  Target.PendingSentAt = now();
  emit(WriteShard{Target.Name, Target.Version, std::move(Record)});
}

auto LeaseReducer::acquire(Shard &Target) -> void {
  auto record = Target.Record;
  auto wasHeld = Target.Version != 0 && !record.IsReleased &&
                 record.HolderRun != CurrentState.Self.Run;
  if (wasHeld)
    record.FormerHolders.push_back({record.Holder, record.HolderRun});
  record.Fencing += 1;
  record.IsReleased = false;
  Target.Lease.acquireSent();
  write(Target, std::move(record));
}

auto LeaseReducer::release(Shard &Target) -> void {
  auto record = Target.Record;
  record.IsReleased = true;
  Target.Lease.releaseSent();
  Target.Orders.clear();
  write(Target, std::move(record));
}

auto LeaseReducer::mayAcquire(Shard const &Target) const -> bool {
  if (!Target.HasRead || Target.IsReading)
    return false;
  if (Target.Version != 0 && Target.Record.IsReleased)
    return true;
  auto const &options = CurrentState.Options;
  // A lower-ranked candidate waits longer, so that two rarely write at once.
  auto stagger =
      candidateRank(Target.Name) * options.LeaseDuration / RenewalsPerLease;
  if (Target.Version == 0)
    return now() >= Target.VersionSeenAt + stagger;
  auto lease =
      scaled(Target.Record.LeaseDuration, 1 + 2 * options.MaximumClockDrift);
  return now() >= Target.VersionSeenAt + lease + stagger;
}

auto LeaseReducer::candidateRank(ShardName const &Name) const -> int {
  auto key = hashText(Name.text());
  auto own = rendezvousScore(key, CurrentState.Self.Id.text());
  auto rank = 0;
  for (auto const &it : CurrentState.Members.Peers) {
    if (!isAlive(it.second, now()) || isLeaving(it.second))
      continue;
    if (rendezvousScore(key, it.first.text()) > own)
      ++rank;
  }
  return rank;
}

auto LeaseReducer::on(ShardWritten const &Event) -> void {
  auto it = CurrentState.Leases.Shards.find(Event.Shard);
  if (it == CurrentState.Leases.Shards.end())
    return;
  auto &shard = it->second;
  if (!shard.Pending || shard.Pending->WriteNumber != Event.WriteNumber)
    return;
  if (Event.Result != WriteResult::Committed) {
    shard.Lease.notCommitted();
    shard.NextRead = now();
    if (Event.Result == WriteResult::Unknown)
      shard.NextRead += ReadBackInterval;
    return;
  }
  shard.Record = *shard.Pending;
  shard.Version = Event.Version;
  shard.Pending.reset();
  shard.Lease.committed();
  applyCommittedRecord(shard);
}

auto LeaseReducer::applyCommittedRecord(Shard &Target) -> void {
  auto const &lease = CurrentState.Options.LeaseDuration;
  auto isAcquired = Target.ValidUntil == Instant{};
  Target.ValidUntil = Target.PendingSentAt +
                      scaled(lease, 1 - CurrentState.Options.MaximumClockDrift);
  Target.NextRenewal = now() + lease / RenewalsPerLease;
  if (isAcquired) {
    Target.AcquiredAt = now();
    emit(IncrementCounter{CounterMetric::LeaseChanges, {}, Target.Name.text()});
    log(LogLevel::Info, "lease-taken",
        {{"shard", Target.Name.text()},
         {"fencing", fmt::format("{}", Target.Record.Fencing)}});
  }
  if (isHolder(Target))
    OrderReducer(CurrentState, Output).syncOrders(Target);
}

auto LeaseReducer::on(ShardRead const &Event) -> void {
  auto it = CurrentState.Leases.Shards.find(Event.Shard);
  if (it == CurrentState.Leases.Shards.end())
    return;
  auto &shard = it->second;
  shard.IsReading = false;
  auto interval = CurrentState.Options.LeaseDuration / RenewalsPerLease;
  shard.NextRead = now() + interval;
  auto phase = shard.Lease.phase();
  auto isUncertain = phase == LeasePhase::AcquireUncertain ||
                     phase == LeasePhase::RenewUncertain;
  if (!isUncertain && phase != LeasePhase::Following)
    return;
  if (!shard.HasRead || Event.Version != shard.Version)
    shard.VersionSeenAt = now();
  shard.HasRead = true;
  shard.Version = Event.Version;
  shard.Record = Event.Record;
  if (!isUncertain)
    return;
  auto isOwn = Event.Version != 0 && !Event.Record.IsReleased &&
               Event.Record.HolderRun == CurrentState.Self.Run &&
               Event.Record.Fencing == shard.Pending->Fencing;
  auto isCommitted =
      isOwn && Event.Record.WriteNumber == shard.Pending->WriteNumber;
  shard.Pending.reset();
  if (!isOwn) {
    shard.Lease.readBackOther();
    return dropLease(shard);
  }
  shard.Lease.readBackOwn();
  if (isCommitted)
    return applyCommittedRecord(shard);
  // The write took no effect; the lease still ends at the time that the last
  // successful write set.
  shard.NextRenewal = now();
  OrderReducer(CurrentState, Output).syncOrders(shard);
}

auto LeaseReducer::dropLease(Shard &Target) -> void {
  if (Target.ValidUntil != Instant{}) {
    emit(IncrementCounter{CounterMetric::LeaseChanges, {}, Target.Name.text()});
    log(LogLevel::Warning, "lease-lost", {{"shard", Target.Name.text()}});
  }
  Target.ValidUntil = {};
  Target.FenceRaisedAt.clear();
  OrderReducer(CurrentState, Output).abandonOrders(Target);
}

auto LeaseReducer::on(ShardReadFailed const &Event) -> void {
  auto it = CurrentState.Leases.Shards.find(Event.Shard);
  if (it == CurrentState.Leases.Shards.end())
    return;
  it->second.IsReading = false;
  it->second.NextRead =
      now() + CurrentState.Options.LeaseDuration / RenewalsPerLease;
}

auto LeaseReducer::raiseFences(Shard &Target) -> void {
  if (!isValidHolder(Target, now()))
    return;
  for (auto const &id : Target.Engines) {
    auto const *engine = CurrentState.Configuration.Current->findEngine(id);
    if (engine == nullptr || !engine->ChecksFencing)
      continue;
    auto view = CurrentState.Backends.Engines.find(id);
    if (view == CurrentState.Backends.Engines.end() || !view->second.Report)
      continue;
    if (view->second.Report->HighestFencing >= Target.Record.Fencing)
      continue;
    auto &raisedAt = Target.FenceRaisedAt[id];
    if (raisedAt != Instant{} && now() - raisedAt < FenceInterval)
      continue;
    raisedAt = now();
    emit(RaiseFence{id, view->second.Address, Target.Record.Fencing});
  }
}

} // namespace dotterel
