/// \file
/// The servers of a simulated fleet, and which requests crash them.
#include "LibRelay/EngineFleetImplementation.h"

#include "LibRelay/RelayNode.h"

#include <algorithm>
#include <fmt/format.h>

namespace dotterel::relay::test {

namespace {

constexpr auto PrefillTime = Duration{20ms};
/// Time from the arrival at an engine until it begins to decode.
constexpr auto DecodeDelay = Duration{15ms};
/// Time from the begin of decoding until the engine crashes.
constexpr auto CrashDelay = Duration{50ms};
constexpr auto StreamTime = Duration{300ms};
constexpr auto LookupTime = Duration{60ms};
/// The store removes the entry of a silent server after three heartbeats.
constexpr auto EntryLifetime = Duration{3600ms};
constexpr auto StoreDelay = Duration{20ms};
constexpr auto MisdirectedStatus = 421U;

} // namespace

auto EngineFleet::Implementation::isReplaced(std::string const &Server)
    -> bool {
  auto it = Addresses.find(Server);
  auto const *current =
      it == Addresses.end() ? nullptr : findEngine(it->second);
  return current != nullptr && current->IsUp &&
         current->Description.Id != Server;
}

auto EngineFleet::Implementation::arrive(std::string const &Server,
                                         Run const &Arrived) -> void {
  auto it = std::ranges::find(Engines, Server, [](Engine const &Target) {
    return Target.Description.Id;
  });
  Record.Arrivals.push_back(
      {Clock.now(), Arrived.Request, Arrived.CrashesEngine, false, Server,
       Clock.now() < Nodes[Arrived.Instance].ExcusedUntil});
  if (isReplaced(Server)) {
    auto response = ServerResponse{};
    response.Status = MisdirectedStatus;
    response.IsMisdirected = true;
    return feedRun(Arrived, AttemptResponded{Arrived.Attempt, response});
  }
  if (it == Engines.end() || !it->IsUp)
    return interrupt(Arrived, "no response");
  auto number = ++it->NextRun;
  it->Runs[number] = Arrived;
  if (Arrived.IsPrefill) {
    Record.Arrivals.back().IsFirstPrefill =
        Prefilled.insert(Arrived.Request).second;
    Clock.schedule(PrefillTime, [=, this] {
      if (auto run = take(Server, number))
        feedRun(*run, AttemptPrefilled{run->Attempt, "handle",
                                       findById(Server)->notice()});
    });
    return;
  }
  if (it->Description.Stage == EngineStage::Any)
    return Clock.schedule(LookupTime, [=, this] { respond(Server, number); });
  Clock.schedule(DecodeDelay, [=, this] { begin(Server, number); });
}

auto EngineFleet::Implementation::respond(std::string const &Server,
                                          std::uint64_t Number) -> void {
  auto *target = findById(Server);
  if (target != nullptr && target->Runs.contains(Number) &&
      target->Runs.at(Number).CrashesEngine) {
    recordCrash(target->Runs.at(Number).Request);
    return crash(*target);
  }
  auto run = take(Server, Number);
  if (!run)
    return;
  Record.Requests[run->Request].HasBegun = true;
  auto response = ServerResponse{};
  response.Status = 200;
  response.Notice = findById(Server)->notice();
  feedRun(*run, AttemptResponded{run->Attempt, response});
}

auto EngineFleet::Implementation::begin(std::string const &Server,
                                        std::uint64_t Number) -> void {
  auto *engine = findById(Server);
  if (engine == nullptr || !engine->Runs.contains(Number))
    return;
  auto run = engine->Runs.at(Number);
  Record.Requests[run.Request].HasBegun = true;
  auto header = ServerResponse{};
  header.Status = 200;
  header.Framing = BodyFraming::Chunked;
  header.Notice = engine->notice();
  feedRun(run, AttemptStreamStarted{run.Attempt, header});
  if (run.CrashesEngine) {
    Clock.schedule(CrashDelay, [=, this] {
      auto *target = findById(Server);
      if (target == nullptr || !target->Runs.contains(Number))
        return;
      recordCrash(target->Runs.at(Number).Request);
      crash(*target);
    });
    return;
  }
  feedRun(run, AttemptEventsReceived{run.Attempt,
                                     {{1, true, "id: 1\ndata: x\n\n"}}});
  Clock.schedule(StreamTime, [=, this] {
    if (auto ended = take(Server, Number))
      feedRun(*ended, AttemptStreamEnded{ended->Attempt, ""});
  });
}

auto EngineFleet::Implementation::take(std::string const &Server,
                                       std::uint64_t Number)
    -> std::optional<EngineFleet::Implementation::Run> {
  auto *engine = findById(Server);
  if (engine == nullptr)
    return std::nullopt;
  auto node = engine->Runs.extract(Number);
  return node.empty() ? std::nullopt : std::optional(node.mapped());
}

auto EngineFleet::Implementation::feedRun(Run const &Target, EventBody Body)
    -> void {
  if (isCurrent(Target.Instance, Target.Incarnation))
    feedLater(NetworkDelay, Target.Instance, std::move(Body));
}

auto EngineFleet::Implementation::interrupt(Run const &Target,
                                            std::string Reason) -> void {
  feedRun(Target, AttemptInterrupted{Target.Attempt, std::move(Reason)});
}

auto EngineFleet::Implementation::crash(Engine &Target) -> void {
  if (!Target.IsUp)
    return;
  Target.IsUp = false;
  for (auto const &it : Target.Runs)
    interrupt(it.second, "stream truncated");
  Target.Runs.clear();
  auto id = Target.Description.Id;
  Clock.schedule(EntryLifetime, [=, this] { publish(id, std::nullopt); });
  Clock.schedule(Options.RestartTime, [&Target, this] {
    Target.Description.Id = fmt::format("r{}", ++Restarts);
    ++Target.Description.StartedAt;
    Addresses[Target.Description.Id] = Target.Description.Address;
    Target.IsUp = true;
    publish(Target.Description.Id, Target.Description);
  });
}

auto EngineFleet::Implementation::publish(
    std::string const &Id, std::optional<ServerDescription> Entry) -> void {
  auto version = atRevision(++Revision);
  if (Entry)
    Entry->Version = version;
  for (auto n = 0U; n < Nodes.size(); ++n) {
    if (Nodes[n].IsUp)
      feedLater(StoreDelay, n, ServersUpdated{{{Id, version, Entry}}, version});
  }
}

auto EngineFleet::Implementation::isCrashing(FleetCall const &Call) const
    -> bool {
  auto isSegment = [this](auto const &it) {
    return it.Hash == CrashingSegment;
  };
  return std::ranges::any_of(Call.Segments, isSegment) ||
         findCrashingCall(Call) < CrashingCalls.size();
}

auto EngineFleet::Implementation::findCrashingCall(FleetCall const &Call) const
    -> std::size_t {
  auto it = std::ranges::find_if(CrashingCalls, [&](FleetCall const &Known) {
    return Call.Route == Known.Route && Call.Item == Known.Item &&
           Call.CallerAddress == Known.CallerAddress;
  });
  return static_cast<std::size_t>(it - CrashingCalls.begin());
}

auto EngineFleet::Implementation::recordCrash(std::uint64_t Request) -> void {
  Record.Crashes.push_back(
      {Clock.now(), Record.Requests[Request].CrashingCall});
}

auto EngineFleet::Implementation::findEngine(std::string const &Address)
    -> EngineFleet::Implementation::Engine * {
  auto it = std::ranges::find(Engines, Address, [](Engine const &Target) {
    return Target.Description.Address;
  });
  return it == Engines.end() ? nullptr : &*it;
}

auto EngineFleet::Implementation::findById(std::string const &Id)
    -> EngineFleet::Implementation::Engine * {
  auto it = std::ranges::find(
      Engines, Id, [](Engine const &Target) { return Target.Description.Id; });
  return it == Engines.end() || !it->IsUp ? nullptr : &*it;
}

} // namespace dotterel::relay::test
