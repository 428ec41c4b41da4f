#include "LibConfiguration/Settings.h"
#include "LibCore/Error.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

using nlohmann::json;

auto validSettings() -> json {
  return {{"instance", "i1"},
          {"failureDomain", "a"},
          {"callerAddress", "127.0.0.1:1"},
          {"peerAddress", "127.0.0.1:2"},
          {"objectApiAddress", "127.0.0.1:3"},
          {"peerKey", "0123456789abcdef"}};
}

auto errorOf(json const &Document) -> std::string {
  try {
    (void)Settings::parse(Document.dump());
  } catch (Error const &error) {
    cr_assert_eq(error.code(), ResultCode::InvalidSettings);
    return error.what();
  }
  return "";
}

auto contains(std::string const &Message, char const *Part) -> bool {
  return Message.find(Part) != std::string::npos;
}

} // namespace

Test(Settings, DefaultsComeFromTheSchema) {
  auto settings = Settings::parse(validSettings().dump());
  cr_assert_eq(settings.Limits.BodyBytes, 4194304);
  cr_assert(settings.LeaseDuration == 6s);
  cr_assert(settings.LogLevel == "info");
}

Test(Settings, UnknownFieldIsAnError) {
  auto document = validSettings();
  document["instnace"] = "x";
  cr_assert(contains(errorOf(document), "instnace"));
}

Test(Settings, MissingFieldIsNamed) {
  auto document = validSettings();
  document.erase("peerKey");
  cr_assert(contains(errorOf(document), "peerKey"));
}

Test(Settings, OutOfRangeValueIsNamed) {
  auto document = validSettings();
  document["leaseDurationMs"] = 7;
  auto error = errorOf(document);
  cr_assert(contains(error, "/leaseDurationMs"));
  cr_assert(contains(error, "value 7"));
  cr_assert(contains(error, "500"));
}

Test(Settings, InvalidDocumentsAreRejected) {
  for (auto const *it : {"", "[]", "{", "null", "{\"instance\": 3}"})
    cr_assert_throw((void)Settings::parse(it), Error);
  auto document = validSettings();
  document["callerAddress"] = "localhost";
  cr_assert(contains(errorOf(document), "/callerAddress"));
  document = validSettings();
  document["logLevel"] = "loud";
  cr_assert(contains(errorOf(document), "/logLevel"));
  document = validSettings();
  document["peerKey"] = "short";
  cr_assert(contains(errorOf(document), "/peerKey"));
}

} // namespace dotterel::test
