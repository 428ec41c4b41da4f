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

/// Returns the number of the line with the first occurrence of the last name
/// in the path of \p Violation.
auto lineOf(std::string const &Text, std::string const &Violation) -> long {
  auto path = Violation.substr(0, Violation.find(" value"));
  auto slash = path.rfind('/');
  auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
  auto position = Text.find("\"" + name + "\"");
  if (name.empty() || position == std::string::npos)
    return 1;
  return 1 + std::count(Text.begin(),
                        Text.begin() + static_cast<std::ptrdiff_t>(position),
                        '\n');
}

auto parseRange(json const &Value) -> Range {
  return {Value.at(0).get<int>(), Value.at(1).get<int>()};
}

auto parseClass(json const &Value) -> RequestClass {
  return {Value.at("name").get<std::string>(),
          Value.at("caller").get<std::string>(),
          std::chrono::milliseconds(Value.at("deadlineMs").get<int>()),
          parseRange(Value.at("promptTokens")),
          parseRange(Value.at("outputTokens")),
          Value.value("sharedPrefixes", 0),
          Value.value("prefixTokens", 0)};
}

auto parseFault(json const &Value) -> Fault {
  auto kind = Value.at("kind").get<std::string>();
  auto parsed = kind == "lose"     ? FaultKind::Lose
                : kind == "return" ? FaultKind::Return
                                   : FaultKind::Slow;
  return {fromSeconds(Value.at("atSeconds").get<double>()), parsed,
          Value.at("engine").get<int>(), Value.value("factor", 1.0)};
}

auto parseEngines(json const &Value) -> EngineParameters {
  return {Value.at("count").get<int>(),
          Value.at("prefillTokensPerSecond").get<double>(),
          Value.at("decodeBaseMs").get<double>(),
          Value.at("decodePerRequestMs").get<double>(),
          Value.value("chunkTokens", 512),
          Value.value("maximumBatch", 64),
          Value.value("cachedPieces", 64)};
}

auto parseJson(std::string const &Text) -> json {
  try {
    return json::parse(Text);
  } catch (json::parse_error const &error) {
    throw Error(ResultCode::InvalidUsage, error.what());
  }
}

} // namespace

auto parseScenario(std::string const &Text) -> Scenario {
  auto document = parseJson(Text);
  auto violations = JsonSchema(ScenarioSchema).violations(document);
  for (auto &it : violations)
    it = fmt::format("line {}: {}", lineOf(Text, it), it);
  if (!violations.empty())
    throw Error(ResultCode::InvalidUsage,
                fmt::format("{}", fmt::join(violations, "\n")));
  auto scenario = Scenario{};
  scenario.Name = document.at("name").get<std::string>();
  scenario.Length =
      std::chrono::seconds(document.at("lengthSeconds").get<int>());
  scenario.Instances = document.at("instances").get<int>();
  scenario.Engines = parseEngines(document.at("engines"));
  scenario.ReportLag =
      std::chrono::milliseconds(document.at("reportLagMs").get<int>());
  scenario.ReportLossRate = document.value("reportLossRate", 0.0);
  for (auto const &it : document.at("classes"))
    scenario.Classes.push_back(parseClass(it));
  for (auto const &it : document.at("phases"))
    scenario.Phases.push_back(
        {fromSeconds(it.at("untilSeconds").get<double>()),
         it.at("rates").get<std::map<std::string, double>>()});
  if (document.contains("faults"))
    for (auto const &it : document.at("faults"))
      scenario.Faults.push_back(parseFault(it));
  return scenario;
}

} // namespace dotterel::bench
