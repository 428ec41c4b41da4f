#include "LibInstance/StatusReport.h"

#include "LibControl/OrderReducer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

auto toString(InstanceLifecycle::Phase Phase) -> char const * {
  switch (Phase) {
  case InstanceLifecycle::Phase::Starting:
    return "starting";
  case InstanceLifecycle::Phase::Ready:
    return "ready";
  case InstanceLifecycle::Phase::Leaving:
    return "leaving";
  case InstanceLifecycle::Phase::Draining:
    return "draining";
  case InstanceLifecycle::Phase::Stopped:
    return "stopped";
  }
  return "unknown";
}

auto namesOf(std::vector<ModelName> const &Models) -> json {
  auto names = json::array();
  for (auto const &it : Models)
    names.push_back(it.text());
  return names;
}

/// Returns why the state of an engine is unknown or differs from the declared
/// one; empty if it conforms or if no state is declared.
auto difference(State const &CurrentState, EngineId const &Engine,
                EngineView const &View) -> std::string {
  auto declared = CurrentState.Configuration.Current->desiredState(Engine);
  if (!hasFreshReport(View, CurrentState.Now))
    return "no recent report";
  if (!declared)
    return "";
  if (View.Report->IsChanging)
    return "change under way, or stopped halfway";
  if (matchesState(*View.Report, *declared))
    return "";
  if (CurrentState.Backends.Drains.contains(Engine))
    return "draining before the order";
  return "order not yet recorded";
}

auto engineStatus(State const &CurrentState, EngineId const &Engine,
                  EngineView const &View) -> json {
  auto status =
      json{{"id", Engine.text()},
           {"draining", CurrentState.Backends.Drains.contains(Engine)},
           {"ejected", View.Health.isEjected(CurrentState.Now)},
           {"difference", difference(CurrentState, Engine, View)}};
  auto declared = CurrentState.Configuration.Current->desiredState(Engine);
  if (declared)
    status["declared"] = {{"role", toString(declared->Role)},
                          {"models", namesOf(declared->Models)}};
  if (View.Report)
    status["runs"] = {{"role", toString(View.Report->Role)},
                      {"models", namesOf(View.Report->Models)},
                      {"running", View.Report->Running}};
  return status;
}

auto peerStatus(State const &CurrentState) -> json {
  auto peers = json::array();
  for (auto const &it : CurrentState.Members.Peers)
    peers.push_back({{"id", it.first.text()},
                     {"listed", it.second.IsListed},
                     {"alive", isAlive(it.second, CurrentState.Now)},
                     {"leaving", isLeaving(it.second)},
                     {"revision", it.second.Heartbeat.Configuration}});
  return peers;
}

auto shardStatus(State const &CurrentState) -> json {
  auto shards = json::array();
  for (auto const &it : CurrentState.Leases.Shards)
    shards.push_back({{"name", it.first.text()},
                      {"held_here", isValidHolder(it.second, CurrentState.Now)},
                      {"holder", it.second.Record.Holder.text()},
                      {"fencing", it.second.Record.Fencing},
                      {"orders", it.second.Orders.size()}});
  return shards;
}

auto serverNames(State const &CurrentState, CompiledRoute const &Route,
                 ExplainQuery const &Query) -> json {
  auto servers = json::array();
  auto const &configuration = *CurrentState.Configuration.Current;
  for (auto index : Route.Engines) {
    auto const &id = configuration.engines()[index].Id;
    servers.push_back(
        {{"id", id.text()},
         {"available", isRoutable(CurrentState.Backends, id, Query.Model,
                                  CurrentState.Now)}});
  }
  for (auto index : Route.Servers) {
    auto const &server = configuration.servers()[index];
    if (server.Service != Query.Service)
      continue;
    auto const &view = CurrentState.Backends.Servers.at(server.Id);
    servers.push_back(
        {{"id", server.Id.text()},
         {"available", !view.Health.isEjected(CurrentState.Now)}});
  }
  return servers;
}

} // namespace

auto statusReport(State const &CurrentState) -> std::string {
  auto report = json{{"instance", CurrentState.Self.Id.text()},
                     {"phase", toString(CurrentState.Lifecycle.phase())},
                     {"revision", 0},
                     {"calls", CurrentState.Calls.Calls.size()},
                     {"peers", peerStatus(CurrentState)},
                     {"shards", shardStatus(CurrentState)},
                     {"engines", json::array()}};
  if (CurrentState.Configuration.Current) {
    report["revision"] = CurrentState.Configuration.Current->revision();
    report["warnings"] = CurrentState.Configuration.Current->warnings();
    for (auto const &it : CurrentState.Backends.Engines)
      report["engines"].push_back(
          engineStatus(CurrentState, it.first, it.second));
  }
  return report.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto explainReport(State const &CurrentState, ExplainQuery const &Query)
    -> std::string {
  auto const &configuration = CurrentState.Configuration.Current;
  auto report = json{{"caller", Query.Caller.text()},
                     {"model", Query.Model.text()},
                     {"service", Query.Service.text()},
                     {"route", nullptr}};
  if (!configuration)
    return report.dump(-1, ' ', false, json::error_handler_t::replace);
  report["revision"] = configuration->revision();
  auto const *route =
      Query.Model.empty()
          ? configuration->findServiceRoute(Query.Caller, Query.Service)
          : configuration->findModelRoute(Query.Caller, Query.Model);
  if (route != nullptr) {
    auto const &declaration = route->Declaration;
    report["route"] = {{"name", declaration.Name},
                       {"callers", declaration.Callers.text()},
                       {"servers", declaration.Servers.text()},
                       {"class", declaration.Class},
                       {"deadline_ms", toMilliseconds(declaration.Deadline)}};
    report["servers"] = serverNames(CurrentState, *route, Query);
  }
  return report.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace dotterel
