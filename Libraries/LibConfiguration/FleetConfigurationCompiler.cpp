/// \file
/// Parsing, validation and compilation of a fleet configuration.
#include "LibConfiguration/FleetConfiguration.h"

#include "LibConfiguration/JsonSchema.h"
#include "LibCore/Error.h"
#include "LibCore/Hash.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr auto ConfigurationSchema = std::string_view{R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["engines", "services", "servers", "models", "callers",
               "routes", "engineRules"],
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 128},
    "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "labels": {"type": "object",
      "additionalProperties": {"type": "string", "maxLength": 128}},
    "selector": {"type": "string", "maxLength": 1024}
  },
  "properties": {
    "engines": {"type": "array", "items": {"type": "object",
      "additionalProperties": false,
      "required": ["id", "address", "failureDomain"],
      "properties": {
        "id": {"$ref": "#/definitions/name"},
        "address": {"$ref": "#/definitions/address"},
        "failureDomain": {"$ref": "#/definitions/name"},
        "labels": {"$ref": "#/definitions/labels"},
        "checksFencing": {"type": "boolean"}}}},
    "services": {"type": "array", "items": {"type": "object",
      "additionalProperties": false, "required": ["name"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "labels": {"$ref": "#/definitions/labels"},
        "idempotentPaths": {"type": "array", "items": {"type": "string"}}}}},
    "servers": {"type": "array", "items": {"type": "object",
      "additionalProperties": false,
      "required": ["id", "service", "address", "failureDomain"],
      "properties": {
        "id": {"$ref": "#/definitions/name"},
        "service": {"$ref": "#/definitions/name"},
        "address": {"$ref": "#/definitions/address"},
        "failureDomain": {"$ref": "#/definitions/name"},
        "labels": {"$ref": "#/definitions/labels"}}}},
    "models": {"type": "array", "items": {"type": "object",
      "additionalProperties": false, "required": ["name"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "labels": {"$ref": "#/definitions/labels"}}}},
    "callers": {"type": "array", "items": {"type": "object",
      "additionalProperties": false, "required": ["name"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "labels": {"$ref": "#/definitions/labels"},
        "share": {"type": "number", "minimum": 0.01, "maximum": 1000}}}},
    "routes": {"type": "array", "items": {"type": "object",
      "additionalProperties": false,
      "required": ["name", "callers", "servers", "class", "deadlineMs"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "callers": {"$ref": "#/definitions/selector"},
        "models": {"$ref": "#/definitions/selector"},
        "services": {"$ref": "#/definitions/selector"},
        "servers": {"$ref": "#/definitions/selector"},
        "class": {"$ref": "#/definitions/name"},
        "deadlineMs": {"type": "integer", "minimum": 1,
          "maximum": 86400000}}}},
    "engineRules": {"type": "array", "items": {"type": "object",
      "additionalProperties": false,
      "required": ["name", "engines", "models", "role"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "engines": {"$ref": "#/definitions/selector"},
        "models": {"$ref": "#/definitions/selector"},
        "role": {"enum": ["mixed", "prefill", "decode"]}}}}
  }
})"};

using nlohmann::json;

constexpr auto RingPointsPerEngine = std::size_t{64};

auto labelsOf(json const &Item) -> LabelSet {
  return Item.contains("labels") ? Item.at("labels").get<LabelSet>()
                                 : LabelSet{};
}

template <typename T> auto nameOf(json const &Item, char const *Field) -> T {
  return T(Item.at(Field).get<std::string>());
}

} // namespace

/// Compiles one configuration document. Collects all errors, so that operators
/// see them at once.
class FleetConfiguration::Compiler {
public:
  Compiler(std::string_view Text, Revision Number)
      : Result(std::make_shared<FleetConfiguration>()) {
    Result->Text = std::string(Text);
    Result->Number = Number;
  }

  auto compile() -> std::shared_ptr<FleetConfiguration const> {
    auto document = json::parse(Result->Text, nullptr, false);
    if (document.is_discarded())
      throw Error(ResultCode::InvalidConfiguration,
                  "the configuration is not valid JSON");
    Errors = JsonSchema(ConfigurationSchema).violations(document);
    throwIfErrors();
    readServers(document);
    readModelsAndCallers(document);
    readRoutes(document);
    readRules(document);
    throwIfErrors();
    resolveRoutes();
    resolveRules();
    buildRing();
    warnAboutOverlaps();
    return Result;
  }

private:
  auto readServers(json const &Document) -> void {
    for (auto const &it : Document.at("engines")) {
      auto engine = EngineDeclaration{};
      engine.Id = nameOf<EngineId>(it, "id");
      engine.Address = it.at("address").get<std::string>();
      engine.Domain = nameOf<FailureDomain>(it, "failureDomain");
      engine.Labels = labelsOf(it);
      engine.Labels.emplace("id", engine.Id.text());
      engine.Labels.emplace("failureDomain", engine.Domain.text());
      engine.ChecksFencing = it.value("checksFencing", false);
      if (!Result->EngineIndices.emplace(engine.Id, Result->Engines.size())
               .second)
        addError("engines", engine.Id.text(), "id is used twice");
      Result->Engines.push_back(std::move(engine));
    }
    for (auto const &it : Document.at("services"))
      Result->Services.push_back(
          {nameOf<ServiceName>(it, "name"), labelsWithName(it),
           it.value("idempotentPaths", std::vector<std::string>{})});
    for (auto const &it : Document.at("servers")) {
      auto server = ServerDeclaration{};
      server.Id = nameOf<ServerId>(it, "id");
      server.Service = nameOf<ServiceName>(it, "service");
      server.Address = it.at("address").get<std::string>();
      server.Domain = nameOf<FailureDomain>(it, "failureDomain");
      server.Labels = labelsOf(it);
      server.Labels.emplace("id", server.Id.text());
      server.Labels.emplace("failureDomain", server.Domain.text());
      if (Result->findService(server.Service) == nullptr)
        addError("servers", server.Id.text(),
                 "unknown service '" + server.Service.text() + "'");
      Result->Servers.push_back(std::move(server));
    }
  }

  auto readModelsAndCallers(json const &Document) -> void {
    for (auto const &it : Document.at("models"))
      Result->Models.push_back(
          {nameOf<ModelName>(it, "name"), labelsWithName(it)});
    for (auto const &it : Document.at("callers"))
      Result->Callers.push_back({nameOf<CallerName>(it, "name"),
                                 labelsWithName(it), it.value("share", 1.0)});
  }

  auto readRoutes(json const &Document) -> void {
    for (auto const &it : Document.at("routes")) {
      auto route = CompiledRoute{};
      auto &declaration = route.Declaration;
      declaration.Name = it.at("name").get<std::string>();
      declaration.Callers = parseSelector(it, "callers", callerLabelNames());
      if (it.contains("models") == it.contains("services"))
        addError("routes", declaration.Name,
                 "needs exactly one of 'models' and 'services'");
      if (it.contains("models"))
        declaration.Models = parseSelector(it, "models", modelLabelNames());
      if (it.contains("services"))
        declaration.Services =
            parseSelector(it, "services", serviceLabelNames());
      declaration.Servers = parseSelector(
          it, "servers",
          it.contains("models") ? engineLabelNames() : serverLabelNames());
      declaration.Class = it.at("class").get<std::string>();
      declaration.Deadline =
          std::chrono::milliseconds(it.at("deadlineMs").get<std::int64_t>());
      Result->Routes.push_back(std::move(route));
    }
  }

  auto readRules(json const &Document) -> void {
    for (auto const &it : Document.at("engineRules")) {
      auto rule = EngineRule{};
      rule.Name = it.at("name").get<std::string>();
      rule.Engines = parseSelector(it, "engines", engineLabelNames());
      rule.Models = parseSelector(it, "models", modelLabelNames());
      rule.Role = parseEngineRole(it.at("role").get<std::string>());
      Result->Rules.push_back(std::move(rule));
    }
  }

  auto resolveRoutes() -> void {
    for (auto &it : Result->Routes) {
      auto const &declaration = it.Declaration;
      for (auto const &caller : Result->Callers)
        if (declaration.Callers.matches(caller.Labels))
          it.Callers.insert(caller.Name);
      if (declaration.Models)
        resolveModels(it);
      if (declaration.Services)
        resolveServices(it);
      if (it.Engines.empty() && it.Servers.empty())
        addWarning("routes", declaration.Name, "matches no backend server");
      if (it.Models.empty() && it.Services.empty())
        addWarning("routes", declaration.Name, "matches no model or service");
    }
  }

  auto resolveModels(CompiledRoute &Route) -> void {
    for (auto const &model : Result->Models)
      if (Route.Declaration.Models->matches(model.Labels))
        Route.Models.insert(model.Name);
    Route.UsesEngine.resize(Result->Engines.size());
    for (auto n = std::size_t{0}; n < Result->Engines.size(); ++n) {
      Route.UsesEngine[n] =
          Route.Declaration.Servers.matches(Result->Engines[n].Labels);
      if (Route.UsesEngine[n])
        Route.Engines.push_back(n);
    }
  }

  auto resolveServices(CompiledRoute &Route) -> void {
    for (auto const &service : Result->Services)
      if (Route.Declaration.Services->matches(service.Labels))
        Route.Services.insert(service.Name);
    for (auto n = std::size_t{0}; n < Result->Servers.size(); ++n)
      if (Route.Declaration.Servers.matches(Result->Servers[n].Labels))
        Route.Servers.push_back(n);
  }

  auto buildRing() -> void {
    auto &ring = Result->Ring;
    ring.reserve(Result->Engines.size() * RingPointsPerEngine);
    for (auto n = std::size_t{0}; n < Result->Engines.size(); ++n)
      for (auto point = std::uint64_t{0}; point < RingPointsPerEngine; ++point)
        ring.push_back({hashText(Result->Engines[n].Id.text(), point), n});
    std::ranges::sort(ring);
  }

  auto resolveRules() -> void {
    for (auto const &rule : Result->Rules) {
      auto state = DesiredEngineState{rule.Role, {}};
      for (auto const &model : Result->Models)
        if (rule.Models.matches(model.Labels))
          state.Models.push_back(model.Name);
      auto matched = false;
      for (auto const &engine : Result->Engines) {
        if (!rule.Engines.matches(engine.Labels))
          continue;
        matched = true;
        if (!Result->DesiredStates.emplace(engine.Id, state).second)
          addWarning("engineRules", rule.Name,
                     "overlaps an earlier rule on engine " + engine.Id.text());
      }
      if (!matched)
        addWarning("engineRules", rule.Name, "matches no engine");
    }
  }

  auto warnAboutOverlaps() -> void {
    for (auto it = Result->Routes.begin(); it != Result->Routes.end(); ++it)
      for (auto other = Result->Routes.begin(); other != it; ++other)
        if (intersects(it->Callers, other->Callers) &&
            (intersects(it->Models, other->Models) ||
             intersects(it->Services, other->Services)))
          addWarning("routes", it->Declaration.Name,
                     "overlaps earlier route " + other->Declaration.Name);
  }

  template <typename T>
  static auto intersects(std::set<T> const &Left, std::set<T> const &Right)
      -> bool {
    for (auto const &it : Left)
      if (Right.contains(it))
        return true;
    return false;
  }

  static auto labelsWithName(json const &Item) -> LabelSet {
    auto labels = labelsOf(Item);
    labels.emplace("name", Item.at("name").get<std::string>());
    return labels;
  }

  auto parseSelector(json const &Item, char const *Field,
                     std::set<std::string> const &KnownLabels) -> Selector {
    auto name = Item.at("name").get<std::string>();
    try {
      auto parsed = Selector::parse(Item.at(Field).get<std::string>());
      for (auto const &label : parsed.labelNames())
        if (!KnownLabels.contains(label))
          addError(Field, name, "selector uses unknown label '" + label + "'");
      return parsed;
    } catch (Error const &error) {
      addError(Field, name, error.what());
      return {};
    }
  }

  template <typename Items>
  static auto labelNamesOf(Items const &Declarations) -> std::set<std::string> {
    auto names = std::set<std::string>{"name", "id", "failureDomain"};
    for (auto const &it : Declarations)
      for (auto const &label : it.Labels)
        names.insert(label.first);
    return names;
  }

  auto engineLabelNames() -> std::set<std::string> {
    return labelNamesOf(Result->Engines);
  }
  auto serverLabelNames() -> std::set<std::string> {
    return labelNamesOf(Result->Servers);
  }
  auto modelLabelNames() -> std::set<std::string> {
    return labelNamesOf(Result->Models);
  }
  auto callerLabelNames() -> std::set<std::string> {
    return labelNamesOf(Result->Callers);
  }
  auto serviceLabelNames() -> std::set<std::string> {
    return labelNamesOf(Result->Services);
  }

  auto addError(std::string_view Field, std::string_view Name,
                std::string_view Message) -> void {
    Errors.push_back(fmt::format("{} '{}': {}", Field, Name, Message));
  }

  auto addWarning(std::string_view Field, std::string_view Name,
                  std::string_view Message) -> void {
    Result->Warnings.push_back(
        fmt::format("{} '{}': {}", Field, Name, Message));
  }

  auto throwIfErrors() -> void {
    if (!Errors.empty())
      throw Error(ResultCode::InvalidConfiguration,
                  fmt::format("{}", fmt::join(Errors, "\n")));
  }

  std::shared_ptr<FleetConfiguration> Result;
  std::vector<std::string> Errors;
};

auto FleetConfiguration::compile(std::string_view Text, Revision Number)
    -> std::shared_ptr<FleetConfiguration const> {
  return Compiler(Text, Number).compile();
}

} // namespace dotterel
