#include "LibConfiguration/FleetConfiguration.h"
#include "LibCore/Error.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

using nlohmann::json;

auto validConfiguration() -> json {
  return json::parse(R"({
    "engines": [
      {"id": "e1", "address": "127.0.0.1:1", "failureDomain": "a",
       "labels": {"pool": "p"}},
      {"id": "e2", "address": "127.0.0.1:2", "failureDomain": "b",
       "labels": {"pool": "q"}}],
    "services": [{"name": "booking"}],
    "servers": [{"id": "b1", "service": "booking", "address": "127.0.0.1:3",
                 "failureDomain": "a"}],
    "models": [{"name": "m", "labels": {"use": "x"}}],
    "callers": [{"name": "c", "labels": {"tier": "gold"}, "share": 2}],
    "routes": [
      {"name": "r", "callers": "tier=gold", "models": "use=x",
       "servers": "pool=p", "class": "fast", "deadlineMs": 100},
      {"name": "s", "callers": "tier", "services": "", "servers": "",
       "class": "booking", "deadlineMs": 100}],
    "engineRules": [{"name": "rule", "engines": "pool=p", "models": "",
                     "role": "mixed"}]})");
}

auto compile(json const &Document) {
  return FleetConfiguration::compile(Document.dump(), 7);
}

auto errorOf(json const &Document) -> std::string {
  try {
    (void)compile(Document);
  } catch (Error const &error) {
    return error.what();
  }
  return "";
}

auto contains(std::string const &Message, char const *Part) -> bool {
  return Message.find(Part) != std::string::npos;
}

} // namespace

Test(FleetConfiguration, ResolvesRoutesAndRules) {
  auto configuration = compile(validConfiguration());
  cr_assert_eq(configuration->revision(), 7);
  auto const *route =
      configuration->findModelRoute(CallerName("c"), ModelName("m"));
  cr_assert_not_null(route);
  cr_assert_eq(route->Engines.size(), 1);
  cr_assert_null(
      configuration->findModelRoute(CallerName("d"), ModelName("m")));
  cr_assert_not_null(
      configuration->findServiceRoute(CallerName("c"), ServiceName("booking")));
  cr_assert(configuration->desiredState(EngineId("e1")).has_value());
  cr_assert_not(configuration->desiredState(EngineId("e2")).has_value());
  cr_assert(configuration->warnings().empty());
}

Test(FleetConfiguration, UnknownLabelIsAnError) {
  auto document = validConfiguration();
  document["routes"][0]["servers"] = "pol=p";
  auto error = errorOf(document);
  cr_assert(contains(error, "'r'"));
  cr_assert(contains(error, "'pol'"));
}

Test(FleetConfiguration, ReportsAllErrorsAtOnce) {
  auto document = validConfiguration();
  document["routes"][0]["servers"] = "pool=";
  document["servers"][0]["service"] = "nothing";
  auto error = errorOf(document);
  cr_assert(contains(error, "column 6"));
  cr_assert(contains(error, "unknown service"));
}

Test(FleetConfiguration, DuplicateEngineIsAnError) {
  auto document = validConfiguration();
  document["engines"][1]["id"] = "e1";
  cr_assert(contains(errorOf(document), "used twice"));
}

Test(FleetConfiguration, UnknownFieldIsAnError) {
  auto document = validConfiguration();
  document["engines"][0]["lables"] = json::object();
  cr_assert(contains(errorOf(document), "lables"));
}

Test(FleetConfiguration, EmptyMatchesAndOverlapsGiveWarnings) {
  auto document = validConfiguration();
  document["routes"].push_back(document["routes"][0]);
  document["routes"][2]["name"] = "t";
  document["engineRules"][0]["engines"] = "pool=none";
  auto warnings = compile(document)->warnings();
  cr_assert_eq(warnings.size(), 2);
}

} // namespace dotterel::test
