#include "Scenario.h"

#include "LibConfiguration/JsonSchema.h"
#include "LibCore/Error.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel::bench {

namespace {

using nlohmann::json;

constexpr auto ScenarioSchema = std::string_view{R"({
  "type": "object", "additionalProperties": false,
  "required": ["name", "lengthSeconds", "instances", "engines", "reportLagMs",
               "classes", "phases"],
  "definitions": {
    "range": {"type": "array", "minItems": 2, "maxItems": 2,
      "items": {"type": "integer", "minimum": 1, "maximum": 200000}}
  },
  "properties": {
    "name": {"type": "string"},
    "lengthSeconds": {"type": "integer", "minimum": 1, "maximum": 7200},
    "instances": {"type": "integer", "minimum": 1, "maximum": 400},
    "reportLagMs": {"type": "integer", "minimum": 0, "maximum": 10000},
    "reportLossRate": {"type": "number", "minimum": 0, "maximum": 1},
    "engines": {"type": "object", "additionalProperties": false,
      "required": ["count", "prefillTokensPerSecond", "decodeBaseMs",
                   "decodePerRequestMs"],
      "properties": {
        "count": {"type": "integer", "minimum": 1, "maximum": 4000},
        "prefillTokensPerSecond": {"type": "number", "minimum": 1},
        "decodeBaseMs": {"type": "number", "minimum": 0.1},
        "decodePerRequestMs": {"type": "number", "minimum": 0},
        "chunkTokens": {"type": "integer", "minimum": 16},
        "maximumBatch": {"type": "integer", "minimum": 1},
        "cachedPieces": {"type": "integer", "minimum": 0}}},
    "classes": {"type": "array", "minItems": 1, "items": {"type": "object",
      "additionalProperties": false,
      "required": ["name", "caller", "deadlineMs", "promptTokens",
                   "outputTokens"],
      "properties": {
        "name": {"type": "string"}, "caller": {"type": "string"},
        "deadlineMs": {"type": "integer", "minimum": 1},
        "promptTokens": {"$ref": "#/definitions/range"},
        "outputTokens": {"$ref": "#/definitions/range"},
        "sharedPrefixes": {"type": "integer", "minimum": 0},
        "prefixTokens": {"type": "integer", "minimum": 0}}}},
    "phases": {"type": "array", "minItems": 1, "items": {"type": "object",
      "additionalProperties": false, "required": ["untilSeconds", "rates"],
      "properties": {
        "untilSeconds": {"type": "number", "minimum": 0},
        "rates": {"type": "object",
          "additionalProperties": {"type": "number", "minimum": 0}}}}},
    "faults": {"type": "array", "items": {"type": "object",
      "additionalProperties": false,
      "required": ["atSeconds", "kind", "engine"],
      "properties": {
        "atSeconds": {"type": "number", "minimum": 0},
        "kind": {"enum": ["lose", "return", "slow"]},
        "engine": {"type": "integer", "minimum": 0},
        "factor": {"type": "number", "minimum": 1}}}}
  }
})"};

/// Returns the line on which the last name of a violation's path stands.
auto lineOf(std::string const &Text, std::string const &Violation) -> long {
  auto path = Violation.substr(0, Violation.find(" value"));
  auto slash = path.rfind('/');
  auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
  auto place = Text.find("\"" + name + "\"");
  if (name.empty() || place == std::string::npos)
    return 1;
  return 1 + std::count(Text.begin(),
                        Text.begin() + static_cast<std::ptrdiff_t>(place),
                        '\n');
}

auto rangeFrom(json const &In) -> Range {
  return {In.at(0).get<int>(), In.at(1).get<int>()};
}

auto classFrom(json const &In) -> RequestClass {
  return {In.at("name").get<std::string>(),
          In.at("caller").get<std::string>(),
          std::chrono::milliseconds(In.at("deadlineMs").get<int>()),
          rangeFrom(In.at("promptTokens")),
          rangeFrom(In.at("outputTokens")),
          In.value("sharedPrefixes", 0),
          In.value("prefixTokens", 0)};
}

auto faultFrom(json const &In) -> Fault {
  auto kind = In.at("kind").get<std::string>();
  auto parsed = kind == "lose"     ? FaultKind::Lose
                : kind == "return" ? FaultKind::Return
                                   : FaultKind::Slow;
  return {fromSeconds(In.at("atSeconds").get<double>()), parsed,
          In.at("engine").get<int>(), In.value("factor", 1.0)};
}

auto enginesFrom(json const &In) -> EngineShape {
  return {In.at("count").get<int>(),
          In.at("prefillTokensPerSecond").get<double>(),
          In.at("decodeBaseMs").get<double>(),
          In.at("decodePerRequestMs").get<double>(),
          In.value("chunkTokens", 512),
          In.value("maximumBatch", 64),
          In.value("cachedPieces", 64)};
}

auto parseText(std::string const &Text) -> json {
  try {
    return json::parse(Text);
  } catch (json::parse_error const &problem) {
    throw Error(ResultCode::InvalidUsage, problem.what());
  }
}

} // namespace

auto parseScenario(std::string const &Text) -> Scenario {
  auto document = parseText(Text);
  auto problems = JsonSchema(ScenarioSchema).violations(document);
  for (auto &it : problems)
    it = fmt::format("line {}: {}", lineOf(Text, it), it);
  if (!problems.empty())
    throw Error(ResultCode::InvalidUsage,
                fmt::format("{}", fmt::join(problems, "\n")));
  auto scenario = Scenario{};
  scenario.Name = document.at("name").get<std::string>();
  scenario.Length =
      std::chrono::seconds(document.at("lengthSeconds").get<int>());
  scenario.Instances = document.at("instances").get<int>();
  scenario.Engines = enginesFrom(document.at("engines"));
  scenario.ReportLag =
      std::chrono::milliseconds(document.at("reportLagMs").get<int>());
  scenario.ReportLossRate = document.value("reportLossRate", 0.0);
  for (auto const &it : document.at("classes"))
    scenario.Classes.push_back(classFrom(it));
  for (auto const &it : document.at("phases"))
    scenario.Phases.push_back(
        {fromSeconds(it.at("untilSeconds").get<double>()),
         it.at("rates").get<std::map<std::string, double>>()});
  if (document.contains("faults"))
    for (auto const &it : document.at("faults"))
      scenario.Faults.push_back(faultFrom(it));
  return scenario;
}

} // namespace dotterel::bench
