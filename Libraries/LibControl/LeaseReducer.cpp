#include "LibControl/LeaseReducer.h"

#include "LibControl/MembershipReducer.h"
#include "LibControl/OrderReducer.h"
#include "LibCore/Hash.h"

#include <fmt/format.h>

namespace dotterel {

namespace {

using LeasePhase = LeaseLifecycle::Phase;

/// Never changed: it decides which holder orders an engine.
constexpr auto ShardCount = std::uint64_t{8};
/// Instances that watch a shard's lease, ready to take it.
constexpr auto CandidatesPerShard = 2;
constexpr auto RenewalsPerLease = 3;
constexpr auto ReadBackInterval = Duration{100ms};
constexpr auto FenceInterval = Duration{1s};

} // namespace

auto shardOf(EngineId const &Engine) -> ShardName {
  return ShardName(
      fmt::format("engines-{}", hashText(Engine.text()) % ShardCount));
}

auto isHolder(Shard const &Subject) -> bool {
  auto phase = Subject.Lease.phase();
  return phase == LeasePhase::Held || phase == LeasePhase::Renewing ||
         phase == LeasePhase::RenewUncertain;
}

auto isValidHolder(Shard const &Subject, Instant Now) -> bool {
  return isHolder(Subject) && Now < Subject.ValidUntil;
}

auto LeaseReducer::rebuild() -> void {
  auto &shards = Subject.Leases.Shards;
  for (auto &it : shards)
    it.second.Engines.clear();
  for (auto const &it : Subject.Configuration.Current->engines()) {
    auto name = shardOf(it.Id);
    auto &shard = shards[name];
    shard.Name = name;
    shard.Engines.push_back(it.Id);
  }
  // A held shard without engines stays until its orders are resolved.
  std::erase_if(shards, [](auto const &Item) {
    return Item.second.Engines.empty() && !isHolder(Item.second);
  });
}

auto LeaseReducer::on(Tick const & /*Happened*/) -> void {
  for (auto &it : Subject.Leases.Shards)
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
  if (Subject.LeaveRequestedAt != Instant{})
    return;
  if (candidateRank(Target.Name) >= CandidatesPerShard)
    return;
  if (mayAcquire(Target))
    return acquire(Target);
  read(Target);
}

auto LeaseReducer::stepHolder(Shard &Target) -> void {
  if (Subject.LeaveRequestedAt != Instant{} && !hasOrderInFlight(Target))
    return release(Target);
  raiseFences(Target);
  auto next = OrderReducer(Subject, Out).composeRecord(Target);
  auto hasNews = next.Orders != Target.Record.Orders ||
                 next.FormerHolders != Target.Record.FormerHolders;
  if (!hasNews && Target.NextRenewal > now())
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
  Record.Holder = Subject.Self.Id;
  Record.HolderRun = Subject.Self.Run;
  Record.LeaseDuration = Subject.Options.LeaseDuration;
  Record.WriteNumber = Subject.Leases.NextWriteNumber++;
  Target.Pending = Record;
  Target.PendingSent = now();
  emit(WriteShard{Target.Name, Target.Version, std::move(Record)});
}

auto LeaseReducer::acquire(Shard &Target) -> void {
  auto record = Target.Record;
  auto wasHeld = Target.Version != 0 && !record.IsReleased &&
                 record.HolderRun != Subject.Self.Run;
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
  auto const &options = Subject.Options;
  // A lower-ranked candidate waits, so that two rarely write at once.
  auto turn =
      candidateRank(Target.Name) * options.LeaseDuration / RenewalsPerLease;
  if (Target.Version == 0)
    return now() >= Target.VersionSeen + turn;
  auto lease =
      scaled(Target.Record.LeaseDuration, 1 + 2 * options.MaximumClockDrift);
  return now() >= Target.VersionSeen + lease + turn;
}

auto LeaseReducer::candidateRank(ShardName const &Name) const -> int {
  auto key = hashText(Name.text());
  auto own = rendezvousScore(key, Subject.Self.Id.text());
  auto rank = 0;
  for (auto const &it : Subject.Members.Peers) {
    if (!isAlive(it.second, now()) || isLeaving(it.second))
      continue;
    if (rendezvousScore(key, it.first.text()) > own)
      ++rank;
  }
  return rank;
}

auto LeaseReducer::on(ShardWritten const &Happened) -> void {
  auto it = Subject.Leases.Shards.find(Happened.Shard);
  if (it == Subject.Leases.Shards.end())
    return;
  auto &shard = it->second;
  if (!shard.Pending || shard.Pending->WriteNumber != Happened.WriteNumber)
    return;
  if (Happened.Result != WriteResult::Committed) {
    shard.Lease.notCommitted();
    shard.NextRead = now();
    if (Happened.Result == WriteResult::Unknown)
      shard.NextRead += ReadBackInterval;
    return;
  }
  shard.Record = *shard.Pending;
  shard.Version = Happened.Version;
  shard.Pending.reset();
  shard.Lease.committed();
  adopt(shard);
}

auto LeaseReducer::adopt(Shard &Target) -> void {
  auto const &lease = Subject.Options.LeaseDuration;
  auto isNew = Target.ValidUntil == Instant{};
  Target.ValidUntil =
      Target.PendingSent + scaled(lease, 1 - Subject.Options.MaximumClockDrift);
  Target.NextRenewal = now() + lease / RenewalsPerLease;
  if (isNew) {
    Target.TakenAt = now();
    emit(CountOne{CountMetric::LeaseChanges, {}, Target.Name.text()});
    log(LogLevel::Info, "lease-taken",
        {{"shard", Target.Name.text()},
         {"fencing", fmt::format("{}", Target.Record.Fencing)}});
  }
  if (isHolder(Target))
    OrderReducer(Subject, Out).followRecord(Target);
}

auto LeaseReducer::on(ShardRead const &Happened) -> void {
  auto it = Subject.Leases.Shards.find(Happened.Shard);
  if (it == Subject.Leases.Shards.end())
    return;
  auto &shard = it->second;
  shard.IsReading = false;
  auto interval = Subject.Options.LeaseDuration / RenewalsPerLease;
  shard.NextRead = now() + interval;
  auto phase = shard.Lease.phase();
  auto isUncertain = phase == LeasePhase::AcquireUncertain ||
                     phase == LeasePhase::RenewUncertain;
  if (!isUncertain && phase != LeasePhase::Following)
    return;
  if (!shard.HasRead || Happened.Version != shard.Version)
    shard.VersionSeen = now();
  shard.HasRead = true;
  shard.Version = Happened.Version;
  shard.Record = Happened.Record;
  if (!isUncertain)
    return;
  auto isOwn = Happened.Version != 0 && !Happened.Record.IsReleased &&
               Happened.Record.HolderRun == Subject.Self.Run &&
               Happened.Record.Fencing == shard.Pending->Fencing;
  auto hasLanded =
      isOwn && Happened.Record.WriteNumber == shard.Pending->WriteNumber;
  shard.Pending.reset();
  if (!isOwn) {
    shard.Lease.readBackOther();
    return lose(shard);
  }
  shard.Lease.readBackOwn();
  if (hasLanded)
    return adopt(shard);
  // The write did not land; what was valid before stays so until it ends.
  shard.NextRenewal = now();
  OrderReducer(Subject, Out).followRecord(shard);
}

auto LeaseReducer::lose(Shard &Target) -> void {
  if (Target.ValidUntil != Instant{}) {
    emit(CountOne{CountMetric::LeaseChanges, {}, Target.Name.text()});
    log(LogLevel::Warning, "lease-lost", {{"shard", Target.Name.text()}});
  }
  Target.ValidUntil = {};
  Target.FenceRaised.clear();
  OrderReducer(Subject, Out).abandonAll(Target);
}

auto LeaseReducer::on(ShardReadFailed const &Happened) -> void {
  auto it = Subject.Leases.Shards.find(Happened.Shard);
  if (it == Subject.Leases.Shards.end())
    return;
  it->second.IsReading = false;
  it->second.NextRead =
      now() + Subject.Options.LeaseDuration / RenewalsPerLease;
}

auto LeaseReducer::raiseFences(Shard &Target) -> void {
  if (!isValidHolder(Target, now()))
    return;
  for (auto const &id : Target.Engines) {
    auto const *engine = Subject.Configuration.Current->findEngine(id);
    if (engine == nullptr || !engine->ChecksFencing)
      continue;
    auto view = Subject.Backends.Engines.find(id);
    if (view == Subject.Backends.Engines.end() || !view->second.Report)
      continue;
    if (view->second.Report->HighestFencing >= Target.Record.Fencing)
      continue;
    auto &raised = Target.FenceRaised[id];
    if (raised != Instant{} && now() - raised < FenceInterval)
      continue;
    raised = now();
    emit(RaiseFence{id, view->second.Address, Target.Record.Fencing});
  }
}

} // namespace dotterel
