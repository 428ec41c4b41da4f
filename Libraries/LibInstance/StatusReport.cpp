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

/// Says why an engine is not in its declared state, or nothing.
auto difference(State const &Subject, EngineId const &Engine,
                EngineView const &View) -> std::string {
  auto wanted = Subject.Configuration.Current->desiredState(Engine);
  if (!hasFreshReport(View, Subject.Now))
    return "no recent report";
  if (!wanted)
    return "";
  if (View.Report->IsChanging)
    return "change under way, or stopped halfway";
  if (matchesState(*View.Report, *wanted))
    return "";
  if (Subject.Backends.Drains.contains(Engine))
    return "draining before the order";
  return "order not yet recorded";
}

auto engineStatus(State const &Subject, EngineId const &Engine,
                  EngineView const &View) -> json {
  auto status = json{{"id", Engine.text()},
                     {"draining", Subject.Backends.Drains.contains(Engine)},
                     {"ejected", View.Health.isEjected(Subject.Now)},
                     {"difference", difference(Subject, Engine, View)}};
  auto wanted = Subject.Configuration.Current->desiredState(Engine);
  if (wanted)
    status["declared"] = {{"role", toString(wanted->Role)},
                          {"models", namesOf(wanted->Models)}};
  if (View.Report)
    status["runs"] = {{"role", toString(View.Report->Role)},
                      {"models", namesOf(View.Report->Models)},
                      {"running", View.Report->Running}};
  return status;
}

auto peerStatus(State const &Subject) -> json {
  auto peers = json::array();
  for (auto const &it : Subject.Members.Peers)
    peers.push_back({{"id", it.first.text()},
                     {"listed", it.second.IsListed},
                     {"alive", isAlive(it.second, Subject.Now)},
                     {"leaving", isLeaving(it.second)},
                     {"revision", it.second.Heartbeat.Configuration}});
  return peers;
}

auto shardStatus(State const &Subject) -> json {
  auto shards = json::array();
  for (auto const &it : Subject.Leases.Shards)
    shards.push_back({{"name", it.first.text()},
                      {"held_here", isValidHolder(it.second, Subject.Now)},
                      {"holder", it.second.Record.Holder.text()},
                      {"fencing", it.second.Record.Fencing},
                      {"orders", it.second.Orders.size()}});
  return shards;
}

auto serverNames(State const &Subject, CompiledRoute const &Route,
                 ExplainQuestion const &Question) -> json {
  auto servers = json::array();
  auto const &configuration = *Subject.Configuration.Current;
  for (auto index : Route.Engines) {
    auto const &id = configuration.engines()[index].Id;
    servers.push_back({{"id", id.text()},
                       {"available", isRoutable(Subject.Backends, id,
                                                Question.Model, Subject.Now)}});
  }
  for (auto index : Route.Servers) {
    auto const &server = configuration.servers()[index];
    if (server.Service != Question.Service)
      continue;
    auto const &view = Subject.Backends.Servers.at(server.Id);
    servers.push_back({{"id", server.Id.text()},
                       {"available", !view.Health.isEjected(Subject.Now)}});
  }
  return servers;
}

} // namespace

auto statusReport(State const &Subject) -> std::string {
  auto report = json{{"instance", Subject.Self.Id.text()},
                     {"phase", toString(Subject.Lifecycle.phase())},
                     {"revision", 0},
                     {"calls", Subject.Calls.Calls.size()},
                     {"peers", peerStatus(Subject)},
                     {"shards", shardStatus(Subject)},
                     {"engines", json::array()}};
  if (Subject.Configuration.Current) {
    report["revision"] = Subject.Configuration.Current->revision();
    report["warnings"] = Subject.Configuration.Current->warnings();
    for (auto const &it : Subject.Backends.Engines)
      report["engines"].push_back(engineStatus(Subject, it.first, it.second));
  }
  return report.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto explainReport(State const &Subject, ExplainQuestion const &Question)
    -> std::string {
  auto const &configuration = Subject.Configuration.Current;
  auto report = json{{"caller", Question.Caller.text()},
                     {"model", Question.Model.text()},
                     {"service", Question.Service.text()},
                     {"route", nullptr}};
  if (!configuration)
    return report.dump(-1, ' ', false, json::error_handler_t::replace);
  report["revision"] = configuration->revision();
  auto const *route =
      Question.Model.empty()
          ? configuration->findServiceRoute(Question.Caller, Question.Service)
          : configuration->findModelRoute(Question.Caller, Question.Model);
  if (route != nullptr) {
    auto const &declaration = route->Declaration;
    report["route"] = {{"name", declaration.Name},
                       {"callers", declaration.Callers.text()},
                       {"servers", declaration.Servers.text()},
                       {"class", declaration.Class},
                       {"deadline_ms", toMilliseconds(declaration.Deadline)}};
    report["servers"] = serverNames(Subject, *route, Question);
  }
  return report.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace dotterel
